package org.balsambank.gateway.caller;

import java.util.Objects;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.gateway.loop.Channels;

/**
 * The HTTP server for callers.
 *
 * <p>Confined to the decision loop.
 */
public final class CallerListener {
    private static final int BACKLOG = 512;

    private final EventLoopGroup group;
    private final CallerContext shared;
    private Channel server;
    private long accepted;

    /**
     * Creates a server that does not listen yet.
     *
     * @param group the event loop
     * @param shared the state shared by all connections
     */
    public CallerListener(final EventLoopGroup group, final CallerContext shared) {
        this.group = Objects.requireNonNull(group);
        this.shared = Objects.requireNonNull(shared);
    }

    /**
     * Starts to listen.
     *
     * @param host the IP address
     * @param port the TCP port
     * @return completes when the server listens; fails if the port can't be bound
     */
    public Completable listen(final String host, final int port) {
        return Completable.create(emitter -> new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        accepted++;
                        final CallerConnection connection = new CallerConnection(shared);
                        shared.clients()
                                .open(connection)
                                .ifPresentOrElse(account -> init(opened, connection, account), opened::close);
                    }
                })
                .bind(host, port)
                .addListener((ChannelFutureListener) bound -> {
                    if (bound.isSuccess()) {
                        server = bound.channel();
                        emitter.onComplete();
                    } else {
                        emitter.tryOnError(bound.cause());
                    }
                }));
    }

    private void init(final SocketChannel opened, final CallerConnection connection, final ClientAccount account) {
        connection.setAccount(account);
        final StrictRequestDecoder decoder = new StrictRequestDecoder(
                shared.core().bounds().maxHeaderBytes(), account, connection::bytesReceived, connection::wastefulRead);
        final CallerResponseEncoder encoder = new CallerResponseEncoder();
        connection.setCodec(decoder, encoder);
        opened.pipeline().addLast(decoder, encoder, connection);
    }

    /**
     * Stops accepting connections; open ones continue. Those that the system has accepted for this VM are accepted
     * first, since the system resets them when the socket closes.
     */
    public void close() {
        if (server == null) {
            return;
        }
        long before;
        do {
            before = accepted;
            Channels.readArrived(server);
        } while (accepted > before);
        server.close();
    }
}
