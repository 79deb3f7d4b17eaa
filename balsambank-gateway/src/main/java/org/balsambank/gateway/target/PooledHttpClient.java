package org.balsambank.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.gateway.loop.Channels;

/**
 * An HTTP client for small requests with complete bodies.
 *
 * <p>Invariants: a connection carries one request or, where {@link ConnectionReuse} allows it, its repetitions, so that
 * a late copy of a response never answers another request; a request that times out or is cancelled closes its
 * connection. Confined to the decision loop.
 */
public final class PooledHttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long MAX_IDLE_NANOS = Duration.ofSeconds(1).toNanos();

    private final EventLoopGroup group;
    private final CallFaults faults;
    private final Map<PoolKey, Deque<PooledConnection>> idle = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param group the event loop group whose only loop is the decision loop
     * @param log gets a line for what is received and is not the response to a request that waits
     * @param registry counts the same
     */
    public PooledHttpClient(final EventLoopGroup group, final DecisionLog log, final MeterRegistry registry) {
        this.group = Objects.requireNonNull(group);
        this.faults = new CallFaults(log, registry);
    }

    /**
     * Sends a request on an idle connection or a new one.
     *
     * @param request the request and its address
     * @param timeout the maximum time from sending the request to its complete response, without the time to connect
     * @return the response; fails with {@link NotSentException} if no connection could be opened; after any other
     *     failure the peer may have received the request
     */
    public Single<Response> send(final Request request, final Duration timeout) {
        return Single.create(emitter -> {
            final Optional<PooledConnection> reused = takeIdle(request.poolKey());
            if (reused.isPresent()) {
                reused.get().send(request, emitter, timeout);
            } else {
                openAndSend(request, emitter, timeout);
            }
        });
    }

    private void openAndSend(final Request request, final SingleEmitter<Response> emitter, final Duration timeout) {
        try {
            connect(request, emitter, timeout);
        } catch (final IllegalArgumentException e) {
            emitter.tryOnError(new NotSentException("not an address: " + request.address()));
        }
    }

    private Optional<PooledConnection> takeIdle(final PoolKey key) {
        final Deque<PooledConnection> candidates = idle.getOrDefault(key, new ArrayDeque<>());
        PooledConnection candidate = candidates.pollLast();
        while (candidate != null && !candidate.usable(System.nanoTime())) {
            candidate.close();
            candidate = candidates.pollLast();
        }
        if (candidates.isEmpty()) {
            idle.remove(key);
        }
        return Optional.ofNullable(candidate);
    }

    private void connect(final Request request, final SingleEmitter<Response> emitter, final Duration timeout) {
        final StrictResponseDecoder decoder = new StrictResponseDecoder();
        final PooledConnection connection = new PooledConnection(request, decoder);
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        opened.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        decoder,
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        connection);
                    }
                })
                .connect(request.host(), request.port())
                .addListener((ChannelFutureListener) done -> {
                    if (!done.isSuccess()) {
                        emitter.tryOnError(
                                new NotSentException(String.valueOf(done.cause().getMessage())));
                    } else if (emitter.isDisposed()) {
                        done.channel().close();
                    } else if (!request.allowed().getAsBoolean()) {
                        done.channel().close();
                        emitter.tryOnError(new NotSentException("no longer allowed"));
                    } else {
                        connection.channel = (SocketChannel) done.channel();
                        connection.send(request, emitter, timeout);
                    }
                });
    }

    /**
     * A request and its address.
     *
     * @param host the IP address
     * @param port the TCP port
     * @param method the HTTP method
     * @param path the path with the query
     * @param header the name of an additional header, empty for none
     * @param headerValue the value of the additional header
     * @param body the body, empty for none
     * @param reuse which calls may follow on its connection
     * @param moreHeaders further headers by name
     * @param allowed asked right before the request is sent, as opening a connection takes time; if false, the request
     *     is not sent
     */
    public record Request(
            String host,
            int port,
            String method,
            String path,
            String header,
            String headerValue,
            String body,
            ConnectionReuse reuse,
            Map<String, String> moreHeaders,
            BooleanSupplier allowed) {
        /**
         * Creates a request that may always be sent.
         *
         * @param host the IP address
         * @param port the TCP port
         * @param method the HTTP method
         * @param path the path with the query
         * @param header the name of an additional header, empty for none
         * @param headerValue the value of the additional header
         * @param body the body, empty for none
         * @param reuse which calls may follow on its connection
         */
        public Request(
                final String host,
                final int port,
                final String method,
                final String path,
                final String header,
                final String headerValue,
                final String body,
                final ConnectionReuse reuse) {
            this(host, port, method, path, header, headerValue, body, reuse, Map.of(), () -> true);
        }

        private String address() {
            return host + ":" + port;
        }

        private PoolKey poolKey() {
            return new PoolKey(address(), reuse.call());
        }
    }

    /**
     * A response.
     *
     * @param status the HTTP status
     * @param body the complete body
     * @param headers the headers
     */
    public record Response(int status, byte[] body, HttpHeaders headers) {}

    /** The calls that share connections. */
    private record PoolKey(String address, String call) {}

    /** Thrown if no connection could be opened, so that no byte of the request was sent. Immutable and thread-safe. */
    public static final class NotSentException extends IOException {
        private static final long serialVersionUID = 1L;

        private NotSentException(final String message) {
            super(message);
        }
    }

    /**
     * A connection that carries at most one request at a time and may return to the pool after the response; bytes
     * while no response is due end it, and so does idleness.
     */
    private final class PooledConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final PoolKey key;
        private final ConnectionReuse reuse;
        private final StrictResponseDecoder decoder;
        private SocketChannel channel;
        private Request current;
        private SingleEmitter<Response> currentEmitter;
        private Future<?> timeoutTask;
        private long idleSinceNanos;

        PooledConnection(final Request first, final StrictResponseDecoder decoder) {
            this.key = first.poolKey();
            this.reuse = first.reuse();
            this.decoder = decoder;
        }

        boolean usable(final long now) {
            return open() && now - idleSinceNanos < MAX_IDLE_NANOS;
        }

        void send(final Request request, final SingleEmitter<Response> emitter, final Duration timeout) {
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
            current = request;
            currentEmitter = emitter;
            emitter.setCancellable(() -> channel.eventLoop().execute(() -> cancel(emitter)));
            timeoutTask = channel.eventLoop()
                    .schedule(
                            () -> fail(new IOException("no response before the timeout")),
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
            final FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(request.method()),
                    request.path(),
                    Unpooled.copiedBuffer(request.body(), StandardCharsets.UTF_8));
            httpRequest.headers().set(HttpHeaderNames.HOST, key.address());
            if (!request.body().isEmpty()) {
                httpRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            if (!request.body().isEmpty() || request.method().equals("POST")) {
                httpRequest
                        .headers()
                        .set(
                                HttpHeaderNames.CONTENT_LENGTH,
                                httpRequest.content().readableBytes());
            }
            if (!request.header().isEmpty()) {
                httpRequest.headers().set(request.header(), request.headerValue());
            }
            request.moreHeaders().forEach(httpRequest.headers()::set);
            decoder.expectResponse(httpRequest.method().equals(HttpMethod.HEAD));
            channel.writeAndFlush(httpRequest);
        }

        private boolean open() {
            return channel.isActive() && !channel.isInputShutdown();
        }

        void close() {
            channel.close();
        }

        private void cancel(final SingleEmitter<Response> emitter) {
            if (currentEmitter == emitter) {
                timeoutTask.cancel(false);
                currentEmitter = null;
                Channels.reset(channel);
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext context, final FullHttpResponse response) {
            if (currentEmitter == null) {
                context.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                faults.malformed(current, response.decoderResult().cause());
                fail(new IOException("malformed response"));
                return;
            }
            if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                fail(new IOException("switch to another protocol"));
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (!channel.isActive()) {
                fail(new IOException("connection closed without the end of the response"));
                return;
            }
            final byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            timeoutTask.cancel(false);
            final SingleEmitter<Response> emitter = currentEmitter;
            currentEmitter = null;
            final boolean bytesBehind = decoder.endResponse();
            if (bytesBehind) {
                faults.unsolicited(current);
            }
            if (HttpUtil.isKeepAlive(response)
                    && open()
                    && !bytesBehind
                    && reuse.keptAfter().contains(response.status().code())) {
                keep();
            } else {
                context.close();
            }
            emitter.onSuccess(new Response(response.status().code(), body, response.headers()));
        }

        private void keep() {
            idleSinceNanos = System.nanoTime();
            idle.computeIfAbsent(key, ignored -> new ArrayDeque<>()).addLast(this);
            timeoutTask = channel.eventLoop().schedule(this::close, MAX_IDLE_NANOS, TimeUnit.NANOSECONDS);
        }

        @Override
        public void userEventTriggered(final ChannelHandlerContext context, final Object event) throws Exception {
            if (event instanceof ChannelInputShutdownEvent) {
                fail(new IOException("connection closed"));
            }
            super.userEventTriggered(context, event);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            if (cause instanceof StrictResponseDecoder.UnsolicitedBytesException && channel.isActive()) {
                faults.unsolicited(current);
            }
            fail(cause);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            idle.computeIfPresent(key, (ignored, connections) -> without(connections));
            fail(new IOException("connection closed"));
        }

        private Deque<PooledConnection> without(final Deque<PooledConnection> connections) {
            connections.remove(this);
            return connections.isEmpty() ? null : connections;
        }

        /** Resets the connection, so that the peer does not get the request later, and reports the failure. */
        private void fail(final Throwable cause) {
            Channels.reset(channel);
            if (currentEmitter != null) {
                timeoutTask.cancel(false);
                final SingleEmitter<Response> emitter = currentEmitter;
                currentEmitter = null;
                emitter.tryOnError(cause);
            }
        }
    }
}
