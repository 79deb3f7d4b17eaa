package org.balsambank.gateway.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.plan.CallerBounds;

/**
 * One connection of a caller. Reads one request at a time; the next one waits until the answer is written.
 *
 * <p>Invariant: after a request that can't be read, nothing more of the connection is taken for a request. Confined to
 * the decision loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_QUEUED = 64;
    private static final int MAX_PARTS = 1_024;
    private static final long LINGER_MILLIS = 400;

    private final CallerContext shared;
    private final Deque<HttpObject> queued = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private State state = State.IDLE;
    private HttpRequest head;
    private CompositeByteBuf body;
    private int reserved;
    private long arrivedNanos;
    private CallExchange exchange;
    private Future<?> timeout;
    private boolean readingHead;

    /**
     * Creates a connection that is not open.
     *
     * @param shared what all connections share
     */
    CallerConnection(final CallerContext shared) {
        this.shared = Objects.requireNonNull(shared);
    }

    @Override
    public void channelActive(final ChannelHandlerContext opened) {
        context = opened;
        shared.opened(this);
        startTimeout(bounds().idleTimeoutMillis());
    }

    /**
     * Notes that bytes have arrived.
     *
     * @param count their number
     */
    void bytes(final int count) {
        if (state == State.IDLE && !readingHead && count > 0) {
            readingHead = true;
            startTimeout(bounds().headerTimeoutMillis());
        }
    }

    @Override
    public void channelRead(final ChannelHandlerContext ignored, final Object message) {
        if (!(message instanceof HttpObject part) || state == State.CLOSING) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (state == State.RUNNING) {
            queued.addLast(part);
            if (queued.size() >= MAX_QUEUED) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        take(part);
    }

    private void take(final HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            unreadable(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (part instanceof HttpContent content) {
            content(content);
        }
    }

    private void begin(final HttpRequest request) {
        readingHead = false;
        head = request;
        arrivedNanos = shared.timer().nanoTime();
        body = Unpooled.compositeBuffer(MAX_PARTS);
        state = State.BODY;
        startTimeout(bounds().headerTimeoutMillis());
        final Optional<ErrorKind> refusal = shared.dialect().check(request);
        if (refusal.isPresent()) {
            refuseUnread(refusal.get(), "head");
            return;
        }
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request) > bounds().maxBodyBytes()) {
            refuseUnread(ErrorKind.BODY_TOO_LARGE, "length");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void content(final HttpContent content) {
        final int size = content.content().readableBytes();
        if (state != State.BODY) {
            content.release();
            return;
        }
        if (body.readableBytes() + size > bounds().maxBodyBytes()) {
            content.release();
            refuseUnread(ErrorKind.BODY_TOO_LARGE, "body");
            return;
        }
        if (!shared.reserve(size)) {
            content.release();
            refuseUnread(ErrorKind.OVERLOADED, "memory for bodies is full");
            return;
        }
        reserved += size;
        if (size > 0) {
            body.addComponent(true, content.content());
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent) {
            run();
        } else {
            startTimeout(bounds().headerTimeoutMillis());
        }
    }

    private void run() {
        stopTimeout();
        state = State.RUNNING;
        shared.began();
        exchange = new CallExchange(shared, this, context, head, body, arrivedNanos);
        exchange.start();
    }

    /**
     * Goes on after the final answer was written.
     *
     * @param keep whether the connection stays open
     */
    void answered(final boolean keep) {
        if (state != State.RUNNING) {
            return;
        }
        shared.ended();
        exchange = null;
        releaseBody();
        if (!keep || shared.stopping()) {
            closeGently();
            return;
        }
        state = State.IDLE;
        startTimeout(bounds().idleTimeoutMillis());
        context.executor().execute(this::takeQueued);
    }

    private void takeQueued() {
        while (!queued.isEmpty() && state != State.RUNNING && state != State.CLOSING) {
            take(queued.pollFirst());
        }
        if (queued.isEmpty() && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Tells whether the connection stays open after a request.
     *
     * @param request the request
     *
     * @return false if the caller or this VM wants it to end
     */
    boolean keepAlive(final HttpRequest request) {
        return HttpUtil.isKeepAlive(request) && !shared.stopping();
    }

    private void unreadable(final Throwable cause) {
        final String text = String.valueOf(cause.getMessage());
        if (cause instanceof TooLongFrameException) {
            refuseUnread(ErrorKind.HEADERS_TOO_LARGE, text);
        } else {
            refuseUnread(ErrorKind.MALFORMED_REQUEST, text);
        }
    }

    private void refuseUnread(final ErrorKind kind, final String why) {
        shared.log()
                .line("refused_unread")
                .with("outcome", kind.code())
                .with("why", why)
                .write();
        final FullHttpResponse answer = shared.dialect().refusal(kind, Optional.empty());
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(answer);
        closeGently();
    }

    /** Ends the connection after what was written, and reads on for a while so that it is not reset. */
    private void closeGently() {
        state = State.CLOSING;
        stopTimeout();
        releaseBody();
        releaseQueued();
        if (!context.channel().isActive()) {
            return;
        }
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) done -> {
            if (done.channel() instanceof SocketChannel socket && socket.isActive()) {
                socket.shutdownOutput();
            }
        });
        context.channel().config().setAutoRead(true);
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the connection with a reset, so that a begun answer does not look complete.
     */
    void broken() {
        if (state == State.RUNNING) {
            shared.ended();
            exchange = null;
            releaseBody();
        }
        state = State.CLOSING;
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
    }

    /**
     * Ends the connection if nothing is under way on it.
     */
    void closeIfIdle() {
        if (state == State.IDLE && !readingHead) {
            closeGently();
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext ignored) {
        if (exchange != null && context.channel().isWritable()) {
            exchange.resume();
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ignored, final Throwable cause) {
        context.close();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ignored) {
        shared.closed(this);
        stopTimeout();
        if (exchange != null) {
            final CallExchange gone = exchange;
            exchange = null;
            shared.ended();
            gone.callerGone();
        }
        state = State.CLOSING;
        releaseBody();
        releaseQueued();
    }

    private void startTimeout(final long millis) {
        stopTimeout();
        timeout = context.executor().schedule(this::timedOut, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void timedOut() {
        if (state == State.BODY || readingHead) {
            refuseUnread(ErrorKind.SLOW_SENDER, "too slow");
        } else if (state == State.IDLE) {
            closeGently();
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
        shared.release(reserved);
        reserved = 0;
    }

    private void releaseQueued() {
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
    }

    private CallerBounds bounds() {
        return shared.core().bounds();
    }

    /** What a connection is doing. */
    private enum State {
        IDLE,
        BODY,
        RUNNING,
        CLOSING
    }
}
