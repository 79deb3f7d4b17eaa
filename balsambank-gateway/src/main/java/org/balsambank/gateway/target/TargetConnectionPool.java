package org.balsambank.gateway.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.gateway.Dialect;
import org.balsambank.gateway.loop.NextPoll;

/**
 * The connections to one incarnation of one target.
 *
 * <p>Invariant: a connection carries one request at a time, and none twice; the most recently used idle connection is
 * reused first. Confined to the decision loop.
 */
final class TargetConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final String host;
    private final int port;
    private final EventLoopGroup group;
    private final Dialect dialect;
    private final ResponseFaults faults;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();
    private final Set<TargetConnection> all = new HashSet<>();
    private int connecting;

    /**
     * Creates a pool without connections.
     *
     * @param host the IP address
     * @param port the TCP port
     * @param group the event loop
     * @param dialect the header names and message formats
     * @param faults records what the target sends that is no response to the request that waits
     */
    TargetConnectionPool(
            final String host,
            final int port,
            final EventLoopGroup group,
            final Dialect dialect,
            final ResponseFaults faults) {
        this.host = Objects.requireNonNull(host);
        this.port = port;
        this.group = Objects.requireNonNull(group);
        this.dialect = Objects.requireNonNull(dialect);
        this.faults = Objects.requireNonNull(faults);
    }

    /**
     * Returns the header names and message formats.
     *
     * @return the dialect
     */
    Dialect dialect() {
        return dialect;
    }

    /**
     * Returns the records of what the target sends that is no response to the request that waits.
     *
     * @return the records
     */
    ResponseFaults faults() {
        return faults;
    }

    /**
     * Starts an attempt on an idle connection or a new one. An attempt always ends, also by an error of this VM.
     *
     * @param attempt the attempt to start
     * @param maxConnections the maximum number of connections, 0 for no limit
     */
    void start(final TargetAttempt attempt, final int maxConnections) {
        endOnError(attempt, () -> sendOrConnect(attempt, maxConnections));
    }

    private void endOnError(final TargetAttempt attempt, final Runnable step) {
        try {
            step.run();
        } catch (final RuntimeException e) {
            faults.attemptFailed(attempt.id(), e);
            attempt.failed();
        }
    }

    private void sendOrConnect(final TargetAttempt attempt, final int maxConnections) {
        final List<TargetConnection> unsuitable = new ArrayList<>();
        final Optional<TargetConnection> suitable = takeIdle(attempt.id(), unsuitable);
        unsuitable.forEach(idle::addLast);
        if (suitable.isPresent()) {
            attempt.setConnection(suitable.get());
            suitable.get().send(attempt, suitable.get().channel());
            return;
        }
        if (maxConnections > 0 && all.size() + connecting >= maxConnections) {
            if (unsuitable.isEmpty()) {
                group.execute(attempt::notSent);
                return;
            }
            discard(unsuitable.get(0));
        }
        connect(attempt);
    }

    /**
     * Takes the idle connection that was used last, except those that may have carried the request before, and closes
     * those that are no longer usable.
     *
     * @param id the id of the request
     * @param unsuitable gets the connections that may have carried the request, which are taken too, the
     *     one used last at the end
     * @return the connection, empty if there is none
     */
    private Optional<TargetConnection> takeIdle(final RequestId id, final List<TargetConnection> unsuitable) {
        final long now = System.nanoTime();
        while (!idle.isEmpty()) {
            final TargetConnection candidate = idle.pollLast();
            if (!candidate.usable(now)) {
                candidate.close();
            } else if (candidate.mayHaveCarried(id)) {
                unsuitable.add(0, candidate);
            } else {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** Closes an idle connection to make room for another. */
    private void discard(final TargetConnection connection) {
        connection.close();
        remove(connection);
    }

    private void connect(final TargetAttempt attempt) {
        final StrictResponseDecoder decoder = new StrictResponseDecoder();
        final TargetConnection connection = new TargetConnection(this, decoder);
        final ChannelFuture connected = connector()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        opened.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                })
                .connect();
        connecting++;
        connected.addListener((ChannelFutureListener) done -> {
            connecting--;
            if (!done.isSuccess()) {
                attempt.notSent();
                return;
            }
            all.add(connection);
            NextPoll.runAfter(
                    done.channel().eventLoop(),
                    () -> endOnError(attempt, () -> sendOnNew(connection, done.channel(), attempt)));
        });
    }

    private Bootstrap connector() {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .remoteAddress(host, port);
    }

    /**
     * Finds out whether the process of the target has ended, after a connection was lost.
     *
     * @param lost the connection
     * @return finds it out when subscribed
     */
    Single<LossFinding> checkAfter(final TargetConnection lost) {
        return LossCheck.after(group.next(), this::connector, () -> all.stream()
                .filter(each -> each != lost && each.open())
                .toList());
    }

    private void sendOnNew(final TargetConnection connection, final Channel open, final TargetAttempt attempt) {
        if (!open.isActive() || connection.inputEnded()) {
            open.close();
            attempt.notSent();
        } else if (attempt.wanted()) {
            attempt.setConnection(connection);
            connection.send(attempt, open);
        } else {
            open.close();
        }
    }

    /**
     * Returns a connection to the pool, or closes it if it is not reusable.
     *
     * @param connection the connection whose response is complete
     */
    void release(final TargetConnection connection) {
        if (connection.reusable()) {
            connection.resume();
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    /**
     * Removes a closed connection.
     *
     * @param connection the closed connection
     */
    void remove(final TargetConnection connection) {
        all.remove(connection);
        idle.remove(connection);
    }

    /**
     * Closes the idle connections.
     */
    void close() {
        idle.forEach(TargetConnection::close);
        idle.clear();
    }
}
