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
 * Serves small text pages, such as readiness and metrics, to the platform and to operators.
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
     * @param path the request path of the page
     * @param page renders the page at each request
     */
    public void addPage(final String path, final Supplier<Page> page) {
        pages.put(path, page);
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
     * A rendered page.
     *
     * @param status the HTTP status
     * @param text the body
     */
    public record Page(int status, String text) {}

    /** Serves the requests of one connection. */
    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(final ChannelHandlerContext context, final FullHttpRequest request) {
            final Supplier<Page> renderer = pages.get(request.uri());
            final Page page = renderer == null ? new Page(HttpResponseStatus.NOT_FOUND.code(), "") : renderer.get();
            final FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(page.status()),
                    Unpooled.copiedBuffer(page.text(), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }
}
