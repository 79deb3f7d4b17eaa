package org.balsambank.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.reactivex.rxjava3.core.Completable;

/**
 * Shows small pages to the platform and to operators.
 *
 * <p>Confined to the decision loop.
 */
public final class PageServer {
    private static final int MAX_REQUEST_BYTES = 16_384;

    private final EventLoopGroup group;
    private final Map<String, Supplier<Page>> pages = new HashMap<>();

    /**
     * Creates a server without pages.
     *
     * @param group the event loop
     */
    public PageServer(final EventLoopGroup group) {
        this.group = Objects.requireNonNull(group);
    }

    /**
     * Adds a page.
     *
     * @param path the path
     * @param page makes the page
     */
    public void show(final String path, final Supplier<Page> page) {
        pages.put(path, page);
    }

    /**
     * Listens.
     *
     * @param host the IP number
     * @param port the TCP port
     * @return completes when it listens; fails if the port can't be taken
     */
    public Completable listen(final String host, final int port) {
        return Completable.create(emitter -> new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        opened.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpServerKeepAliveHandler(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new PageHandler());
                    }
                })
                .bind(host, port)
                .addListener((ChannelFutureListener) bound -> {
                    if (bound.isSuccess()) {
                        emitter.onComplete();
                    } else {
                        emitter.tryOnError(bound.cause());
                    }
                }));
    }

    /**
     * One page.
     *
     * @param status the status
     * @param text the text
     */
    public record Page(int status, String text) {}

    /** Answers the requests of one connection. */
    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(final ChannelHandlerContext context, final FullHttpRequest request) {
            final Supplier<Page> known = pages.get(request.uri());
            final Page page = known == null ? new Page(HttpResponseStatus.NOT_FOUND.code(), "") : known.get();
            final FullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(page.status()),
                    Unpooled.copiedBuffer(page.text(), StandardCharsets.UTF_8));
            answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
            answer.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            context.writeAndFlush(answer);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }
}
