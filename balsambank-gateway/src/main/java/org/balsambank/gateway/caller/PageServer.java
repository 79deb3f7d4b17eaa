package org.balsambank.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.gateway.loop.Channels;

/**
 * Serves small text pages, such as readiness and metrics, to the platform and to operators.
 *
 * <p>Invariant: holds a bounded number of connections, each with a bounded head and few unread pages. Confined
 * to the decision loop.
 */
public final class PageServer {
    private static final int MAX_HEAD_BYTES = 8_192;
    private static final int MAX_BODY_BYTES = 16_384;
    /** Readiness checks and scrapes hold a few connections at a time. */
    private static final int MAX_CONNECTIONS = 32;
    /** Short reads, so that a client that sends without end takes little of the loop's time. */
    private static final int READ_BYTES = 2_048;

    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private final EventLoopGroup group;
    private final Set<PageHandler> open = new HashSet<>();
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
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        makeRoom();
                        final PageHandler handler = new PageHandler(opened);
                        open.add(handler);
                        opened.eventLoop().schedule(handler::closeIfSilent, MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
                        opened.pipeline()
                                .addLast(
                                        new HttpServerCodec(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES)),
                                        new HttpServerKeepAliveHandler(),
                                        handler);
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

    /** Makes room for a new connection by closing the one whose last request is longest ago. */
    private void makeRoom() {
        if (open.size() >= MAX_CONNECTIONS) {
            open.stream().min(Comparator.comparingLong(page -> page.sinceNanos)).ifPresent(PageHandler::close);
        }
    }

    /** Serves the requests of one connection. What it holds does not grow with the body of a request. */
    private final class PageHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final SocketChannel channel;
        private long sinceNanos = System.nanoTime();
        private String path = "";
        private long bodyBytes;

        private PageHandler(final SocketChannel channel) {
            this.channel = channel;
        }

        private void close() {
            open.remove(this);
            channel.close();
        }

        /** Closes the connection if no request became whole for the time-out, and otherwise looks again later. */
        private void closeIfSilent() {
            final long leftNanos = sinceNanos + MAX_WAIT.toNanos() - System.nanoTime();
            if (leftNanos <= 0) {
                close();
            } else if (channel.isActive()) {
                channel.eventLoop().schedule(this::closeIfSilent, leftNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext context, final HttpObject part) {
            if (part.decoderResult().isFailure()) {
                close();
                return;
            }
            if (part instanceof HttpRequest request) {
                path = request.uri();
                bodyBytes = 0;
            }
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    close();
                    return;
                }
            }
            if (part instanceof LastHttpContent) {
                respond(context);
            }
        }

        private void respond(final ChannelHandlerContext context) {
            if (!channel.isWritable()) {
                // The client asks for pages and does not read them.
                Channels.reset(channel);
                return;
            }
            sinceNanos = System.nanoTime();
            final Supplier<Page> renderer = pages.get(path);
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
        public void channelInactive(final ChannelHandlerContext context) {
            open.remove(this);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }
}
