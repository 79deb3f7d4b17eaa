package org.balsambank.gateway.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.balsambank.gateway.Dialect;

/**
 * The connections to one start of one target.
 *
 * <p>Invariant: a connection serves one send at a time; the newest idle one goes first. Confined to the decision loop.
 */
final class TargetConnectionPool {
    private static final int CONNECT_MILLIS = 400;

    private final String host;
    private final int port;
    private final EventLoopGroup group;
    private final Dialect dialect;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();
    private final Set<TargetConnection> all = new HashSet<>();
    private int connecting;

    /**
     * Creates a pool without connections.
     *
     * @param host the IP number
     * @param port the TCP port
     * @param group the event loop
     * @param dialect the names and formats
     */
    TargetConnectionPool(final String host, final int port, final EventLoopGroup group, final Dialect dialect) {
        this.host = Objects.requireNonNull(host);
        this.port = port;
        this.group = Objects.requireNonNull(group);
        this.dialect = Objects.requireNonNull(dialect);
    }

    /**
     * Returns the names and formats.
     *
     * @return the dialect
     */
    Dialect dialect() {
        return dialect;
    }

    /**
     * Begins a send on an idle connection or a new one.
     *
     * @param send the send
     * @param maxConnections the most connections, 0 for no bound
     */
    void send(final TargetAttempt send, final int maxConnections) {
        final long now = System.nanoTime();
        while (!idle.isEmpty()) {
            final TargetConnection candidate = idle.pollLast();
            if (candidate.usable(now)) {
                send.on(candidate);
                candidate.begin(send, candidate.channel());
                return;
            }
            candidate.close();
        }
        if (maxConnections > 0 && all.size() + connecting >= maxConnections) {
            group.execute(send::notSent);
            return;
        }
        connect(send);
    }

    private void connect(final TargetAttempt send) {
        final StrictResponseDecoder decoder = new StrictResponseDecoder();
        final TargetConnection connection = new TargetConnection(this, decoder);
        connecting++;
        final ChannelFuture opening = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        opened.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                })
                .connect(host, port);
        opening.addListener((ChannelFutureListener) done -> {
            connecting--;
            if (send.cancelled()) {
                done.channel().close();
            } else if (!done.isSuccess()) {
                send.notSent();
            } else {
                all.add(connection);
                send.on(connection);
                connection.begin(send, done.channel());
            }
        });
    }

    /**
     * Takes a connection back.
     *
     * @param connection the connection whose send has ended
     */
    void released(final TargetConnection connection) {
        if (connection.reusable()) {
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    /**
     * Forgets a connection.
     *
     * @param connection the connection that has ended
     */
    void closed(final TargetConnection connection) {
        all.remove(connection);
        idle.remove(connection);
    }

    /**
     * Ends the idle connections.
     */
    void close() {
        idle.forEach(TargetConnection::close);
        idle.clear();
    }
}
