package org.balsambank.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;

/**
 * Small calls with whole bodies, on connections that are kept.
 *
 * <p>A call that is not answered in time ends its connection, which may have gone silent. Confined to the decision
 * loop.
 */
public final class PooledHttpClient {
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int CONNECT_MILLIS = 500;
    private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

    private final EventLoopGroup group;
    private final Map<String, Deque<CallConnection>> idle = new HashMap<>();

    /**
     * Creates calls without connections.
     *
     * @param group the event loop
     */
    public PooledHttpClient(final EventLoopGroup group) {
        this.group = Objects.requireNonNull(group);
    }

    /**
     * Calls.
     *
     * @param call what to send and where
     * @param timeout how long to wait for the answer
     * @return the answer; fails with a {@link NotSent} or an {@link IOException}
     */
    public Single<Reply> send(final Call call, final Duration timeout) {
        return Single.create(emitter -> {
            final long now = System.nanoTime();
            final Deque<CallConnection> waiting = idle.computeIfAbsent(call.address(), key -> new ArrayDeque<>());
            CallConnection known = waiting.pollLast();
            while (known != null && !known.usable(now)) {
                known.close();
                known = waiting.pollLast();
            }
            if (known != null) {
                known.begin(call, emitter, timeout);
            } else {
                connect(call, emitter, timeout);
            }
        });
    }

    private void connect(final Call call, final SingleEmitter<Reply> emitter, final Duration timeout) {
        final CallConnection connection = new CallConnection(call.address());
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        opened.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES), connection);
                    }
                })
                .connect(call.host(), call.port())
                .addListener((ChannelFutureListener) done -> {
                    if (!done.isSuccess()) {
                        emitter.tryOnError(
                                new NotSent(String.valueOf(done.cause().getMessage())));
                    } else if (emitter.isDisposed()) {
                        done.channel().close();
                    } else {
                        connection.channel = done.channel();
                        connection.begin(call, emitter, timeout);
                    }
                });
    }

    /**
     * What to send and where.
     *
     * @param host the IP number
     * @param port the TCP port
     * @param method the method
     * @param path the path with its query
     * @param header the name of one more header, empty for none
     * @param headerValue its value
     * @param body the body, empty for none
     */
    public record Call(
            String host, int port, String method, String path, String header, String headerValue, String body) {
        private String address() {
            return host + ":" + port;
        }
    }

    /**
     * An answer.
     *
     * @param status the status
     * @param body the body
     */
    public record Reply(int status, byte[] body) {}

    /** No byte of the call has left. Immutable and thread-safe. */
    public static final class NotSent extends IOException {
        private static final long serialVersionUID = 1L;

        private NotSent(final String message) {
            super(message);
        }
    }

    /** One connection. */
    private final class CallConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String address;
        private Channel channel;
        private SingleEmitter<Reply> current;
        private Future<?> timeout;
        private long idleSinceNanos;

        CallConnection(final String address) {
            this.address = address;
        }

        boolean usable(final long now) {
            return channel.isActive() && now - idleSinceNanos < IDLE_NANOS;
        }

        void begin(final Call call, final SingleEmitter<Reply> emitter, final Duration limit) {
            current = emitter;
            emitter.setCancellable(() -> channel.eventLoop().execute(() -> abandoned(emitter)));
            timeout = channel.eventLoop()
                    .schedule(
                            () -> fail(new IOException("no answer in time")), limit.toMillis(), TimeUnit.MILLISECONDS);
            final FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.path(),
                    Unpooled.copiedBuffer(call.body(), StandardCharsets.UTF_8));
            request.headers().set(HttpHeaderNames.HOST, address);
            if (!call.body().isEmpty()) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            if (!call.body().isEmpty() || call.method().equals("POST")) {
                request.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            }
            if (!call.header().isEmpty()) {
                request.headers().set(call.header(), call.headerValue());
            }
            channel.writeAndFlush(request);
        }

        void close() {
            channel.close();
        }

        private void abandoned(final SingleEmitter<Reply> emitter) {
            if (current == emitter) {
                timeout.cancel(false);
                current = null;
                channel.close();
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext context, final FullHttpResponse answer) {
            if (current == null) {
                context.close();
                return;
            }
            if (answer.decoderResult().isFailure()) {
                fail(new IOException("the answer can't be read"));
                return;
            }
            final byte[] body = new byte[answer.content().readableBytes()];
            answer.content().readBytes(body);
            timeout.cancel(false);
            final SingleEmitter<Reply> emitter = current;
            current = null;
            idleSinceNanos = System.nanoTime();
            if (HttpUtil.isKeepAlive(answer)) {
                idle.get(address).addLast(this);
            } else {
                context.close();
            }
            emitter.onSuccess(new Reply(answer.status().code(), body));
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            fail(cause);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            idle.get(address).remove(this);
            fail(new IOException("the connection ended"));
        }

        private void fail(final Throwable cause) {
            channel.close();
            if (current != null) {
                timeout.cancel(false);
                final SingleEmitter<Reply> emitter = current;
                current = null;
                emitter.tryOnError(cause);
            }
        }
    }
}
