package org.balsambank.gateway.caller;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.plan.CallerBounds;
import org.balsambank.gateway.loop.Channels;

/**
 * One connection of a caller. Processes one request at a time; pipelined requests wait until the response is written.
 *
 * <p>Invariants: after an unreadable request, nothing that follows on the connection is parsed as a request; no request
 * is begun while responses wait for the caller to read. Confined to the decision loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ClientAccount.Client {
    private static final int MAX_QUEUED_PARTS = 64;
    /** More than the heads of ordinary pipelined requests hold. */
    private static final long MAX_QUEUED_HEAP_BYTES = 262_144;
    /** What a connection holds of the loop's time while nothing but wasteful connections is read: one part in five. */
    private static final int PAUSE_PARTS = 4;

    private static final Duration MAX_PAUSE = Duration.ofMillis(2_000);
    private static final String BODY_MEMORY_EXHAUSTED = "body buffer memory exhausted";
    private static final String ATTRIBUTE_MEMORY_EXHAUSTED = "memory for the values of a request exhausted";

    private final CallerContext shared;
    private final Deque<HttpObject> queuedParts = new ArrayDeque<>();
    private ClientAccount account;
    private StrictRequestDecoder decoder;
    private CallerResponseEncoder encoder;
    private ChannelHandlerContext context;
    private State state = State.IDLE;
    private HttpRequest head;
    private RequestBody body;
    private long attributeBytes;
    private long arrivedNanos;
    private CallExchange exchange;
    private Future<?> timeout;
    private boolean readingHead;
    private boolean overflowed;
    private boolean awaitingTurn;
    private boolean paused;
    private boolean exiting;
    private long unwrittenBefore;
    private GracefulClose closing;
    private CloseReason closeReason = CloseReason.CLOSED_BY_CALLER;
    private long closedNanos;

    /**
     * Creates the handler of a connection that is not open yet.
     *
     * @param shared the state shared by all connections
     */
    CallerConnection(final CallerContext shared) {
        this.shared = Objects.requireNonNull(shared);
    }

    /**
     * Sets the account, before the connection is active.
     *
     * @param opened what the connection holds
     */
    void setAccount(final ClientAccount opened) {
        account = opened;
    }

    /**
     * Sets what decodes the requests and encodes the responses, before the connection is active.
     *
     * @param requests decodes the requests
     * @param responses encodes the responses
     */
    void setCodec(final StrictRequestDecoder requests, final CallerResponseEncoder responses) {
        decoder = requests;
        encoder = responses;
    }

    @Override
    public void channelActive(final ChannelHandlerContext opened) {
        context = opened;
        shared.connectionOpened(this);
        startTimeout(bounds().idleTimeoutMillis());
    }

    /**
     * Starts the header timeout when the first bytes of a request arrive.
     *
     * @param count the number of bytes received
     */
    void bytesReceived(final int count) {
        if (state == State.IDLE && !readingHead && !responsesUnread() && count > 0) {
            readingHead = true;
            account.requestBegun();
            startTimeout(bounds().headerTimeoutMillis());
        }
        account.received(count);
    }

    /**
     * Stops reading for a time after a read of very many short parts. All such connections together take at most one
     * part in five of the loop's time.
     *
     * @param tookNanos how long it took to process the read
     */
    void wastefulRead(final long tookNanos) {
        if (paused || !context.channel().isActive()) {
            return;
        }
        paused = true;
        final ClientAccounts clients = shared.clients();
        clients.readerPaused();
        final long pauseNanos = Math.min(MAX_PAUSE.toNanos(), tookNanos * PAUSE_PARTS * clients.pausedReaders());
        context.channel().config().setAutoRead(false);
        context.executor().schedule(this::resumeReading, pauseNanos, TimeUnit.NANOSECONDS);
    }

    private void resumeReading() {
        if (paused) {
            paused = false;
            shared.clients().readerResumed();
            if (context.channel().isActive()) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    @Override
    public void channelRead(final ChannelHandlerContext ignored, final Object message) {
        if (!(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (state == State.CLOSING) {
            discard(part);
            return;
        }
        if (overflowed) {
            release(part);
        } else if (mustWait() || !queuedParts.isEmpty()) {
            queuePart(part);
        } else {
            process(part);
        }
    }

    /** Returns whether no request may begin: one runs, others have their turn, or responses are not read. */
    private boolean mustWait() {
        return state == State.RUNNING || state == State.IDLE && (awaitingTurn || responsesUnread());
    }

    /** Returns whether responses wait for the caller to read; what it sent is then rejected only if this VM exits. */
    private boolean responsesUnread() {
        return !exiting && !context.channel().isWritable();
    }

    private static void release(final HttpObject part) {
        if (part instanceof HttpRequest request) {
            AccountedHeaders.release(request.headers());
        }
        if (part instanceof LastHttpContent last) {
            AccountedHeaders.release(last.trailingHeaders());
        }
        ReferenceCountUtil.release(part);
    }

    private void discard(final HttpObject part) {
        if (part instanceof HttpRequest request) {
            shared.log()
                    .line("request_discarded")
                    .with(
                            "request",
                            shared.dialect()
                                    .requestId(request)
                                    .map(RequestId::value)
                                    .orElse(""))
                    .with("closed", closeReason.code())
                    .with("after_ms", millisSince(closedNanos))
                    .write();
        }
        release(part);
    }

    /**
     * Queues a part of a pipelined request. If there are too many, the rest is read and discarded, so that the close of
     * the connection is still noticed; the connection is closed after the responses to the queued requests.
     */
    private void queuePart(final HttpObject part) {
        queuedParts.addLast(part);
        if (queuedParts.size() == MAX_QUEUED_PARTS || account.held(ClientAccounts.Kind.HEAP) > MAX_QUEUED_HEAP_BYTES) {
            overflowed = true;
            shared.log()
                    .line("pipeline_overflow")
                    .with("queued_parts", queuedParts.size())
                    .write();
        }
    }

    private void process(final HttpObject part) {
        if (part.decoderResult().isFailure()) {
            if (part instanceof HttpRequest request) {
                headEnded(request);
            }
            release(part);
            rejectUnreadable(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            startRequest(request);
        }
        if (part instanceof HttpContent content) {
            appendBody(content);
        }
    }

    /** Records the end of a head, valid or not; the next response answers its request. */
    private void headEnded(final HttpRequest request) {
        readingHead = false;
        encoder.setRequestMethod(StrictRequestDecoder.method(request));
    }

    private void startRequest(final HttpRequest request) {
        headEnded(request);
        head = request;
        arrivedNanos = shared.timer().nanoTime();
        body = new RequestBody(account.direct());
        state = State.BODY;
        startTimeout(bounds().headerTimeoutMillis());
        final Optional<ErrorKind> error = shared.dialect().validate(request);
        if (error.isPresent()) {
            rejectUnread(error.get(), "head");
            return;
        }
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request) > bounds().maxBodyBytes()) {
            rejectUnread(ErrorKind.BODY_TOO_LARGE, "length");
            return;
        }
        if (!body.reserve((int) HttpUtil.getContentLength(request, 0L))) {
            rejectUnread(ErrorKind.OVERLOADED, BODY_MEMORY_EXHAUSTED);
            return;
        }
        attributeBytes = shared.dialect().attributeBytes(request);
        if (!account.heap().reserve(attributeBytes)) {
            rejectUnread(ErrorKind.OVERLOADED, ATTRIBUTE_MEMORY_EXHAUSTED);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void appendBody(final HttpContent content) {
        final int size = content.content().readableBytes();
        if (state != State.BODY) {
            content.release();
            return;
        }
        if (body.bytes().readableBytes() + size > bounds().maxBodyBytes()) {
            content.release();
            rejectUnread(ErrorKind.BODY_TOO_LARGE, "body");
            return;
        }
        final boolean appended = body.append(content.content());
        release(content);
        if (!appended) {
            rejectUnread(ErrorKind.OVERLOADED, BODY_MEMORY_EXHAUSTED);
            return;
        }
        if (content instanceof LastHttpContent) {
            startExchange();
        } else {
            startTimeout(bounds().headerTimeoutMillis());
        }
    }

    private void startExchange() {
        stopTimeout();
        state = State.RUNNING;
        exchange = new CallExchange(shared, this, context, head, body.bytes(), arrivedNanos);
        if (shared.stopping()) {
            // A rejection must know whether more requests were read; the decoder passes them on after this one.
            context.executor().execute(exchange::start);
        } else {
            exchange.start();
        }
    }

    /**
     * Continues after the response was written: closes the connection or accepts the next request.
     *
     * @param keepOpen whether the connection may stay open
     */
    void responseWritten(final boolean keepOpen) {
        if (state != State.RUNNING) {
            return;
        }
        exchange = null;
        encoder.setRequestMethod(Optional.empty());
        releaseBody();
        AccountedHeaders.release(head.headers());
        account.heap().release(attributeBytes);
        account.requestEnded();
        if (!keepOpen) {
            closeGracefully(CloseReason.LAST_RESPONSE);
            return;
        }
        state = State.IDLE;
        startTimeout(bounds().idleTimeoutMillis());
        recordUnwritten();
        awaitingTurn = true;
        context.executor().execute(() -> {
            awaitingTurn = false;
            processQueued();
        });
    }

    private void recordUnwritten() {
        unwrittenBefore = Channels.unwrittenBytes(context.channel());
        if (unwrittenBefore > 0) {
            account.setUnwritten(unwrittenBefore);
            context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(done -> account.setUnwritten(Channels.unwrittenBytes(context.channel())));
        }
    }

    private void processQueued() {
        while (!queuedParts.isEmpty() && !mustWait() && state != State.CLOSING) {
            process(queuedParts.pollFirst());
        }
        if (overflowed && queuedParts.isEmpty() && !mustWait() && state != State.CLOSING) {
            closeGracefully(CloseReason.PIPELINE_OVERFLOW);
        }
    }

    /**
     * Returns whether the connection may stay open after a request.
     *
     * @param request the head of the request
     * @return false if the caller asked to close it or sent too many requests at once, or if this VM is stopping and
     *     no further request was read
     */
    boolean keepAlive(final HttpRequest request) {
        final boolean lastBeforeOverflow = overflowed && queuedParts.isEmpty();
        return HttpUtil.isKeepAlive(request) && !lastBeforeOverflow && !lastDuringStop();
    }

    /** Returns whether this VM stops and no further request of the caller has arrived. */
    private boolean lastDuringStop() {
        if (shared.stopping() && queuedParts.isEmpty()) {
            readArrived();
        }
        return shared.stopping() && queuedParts.isEmpty();
    }

    private void rejectUnreadable(final Throwable cause) {
        final String text = String.valueOf(cause.getMessage());
        if (cause instanceof AccountedHeaders.NoMemoryException) {
            rejectUnread(ErrorKind.OVERLOADED, text);
        } else if (cause instanceof TooLongFrameException) {
            rejectUnread(ErrorKind.HEADERS_TOO_LARGE, text);
        } else {
            rejectUnread(ErrorKind.MALFORMED_REQUEST, text);
        }
    }

    private void rejectUnread(final ErrorKind kind, final String reason) {
        shared.log()
                .line("refused_unread")
                .with("outcome", kind.code())
                .with("why", reason)
                .write();
        writeLast(kind);
        closeGracefully(CloseReason.REJECTED);
    }

    /** Writes the last response of the connection, to a request that was not read whole. */
    private void writeLast(final ErrorKind kind) {
        if (readingHead) {
            encoder.setRequestMethod(decoder.methodBeingRead());
        }
        final FullHttpResponse response = shared.dialect().errorResponse(kind, Optional.empty());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response);
    }

    private void closeGracefully(final CloseReason reason) {
        closing(reason);
        readingHead = false;
        stopTimeout();
        releaseBody();
        releaseQueued();
        account.releaseAll();
        if (context.channel().isActive()) {
            closing = new GracefulClose(context.channel(), Duration.ofMillis(bounds().idleTimeoutMillis()));
            closing.start();
        }
    }

    private void closing(final CloseReason reason) {
        state = State.CLOSING;
        closeReason = reason;
        closedNanos = shared.timer().nanoTime();
    }

    private long millisSince(final long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(shared.timer().nanoTime() - nanos);
    }

    /**
     * Ends the connection in the middle of a response. What was written of it still reaches the caller, unless its end
     * would then make it look complete.
     *
     * @param framed whether the caller can tell from the bytes that the response is incomplete
     */
    void breakOff(final boolean framed) {
        exchange = null;
        if (framed) {
            closeGracefully(CloseReason.RESPONSE_BROKEN);
            return;
        }
        releaseBody();
        closing(CloseReason.RESPONSE_BROKEN);
        Channels.reset(context.channel());
    }

    /**
     * Returns whether the caller waits for something of this connection.
     *
     * @return true while a request is read or runs, or a response is not written to the end
     */
    boolean unfinished() {
        return switch (state) {
            case IDLE -> readingHead || !queuedParts.isEmpty();
            case BODY, RUNNING -> true;
            case CLOSING -> closing != null && !closing.flushed();
        };
    }

    /**
     * Closes the connection if the caller waits for nothing, after what has arrived by now was read.
     */
    void closeIfIdle() {
        closeIfIdle(CloseReason.STOPPING);
    }

    private void closeIfIdle(final CloseReason reason) {
        if (!idle()) {
            return;
        }
        final Future<?> idleTimeout = timeout;
        readArrived();
        if (idle() && timeout == idleTimeout) {
            closeIdle(reason);
        }
    }

    /**
     * Closes the connection and reads nothing any more, unless its last response is still being written. The caller may
     * learn of the close late and send a request meanwhile; the system resets the connection then, and the caller knows
     * that the request was not read.
     */
    private void closeIdle(final CloseReason reason) {
        if (Channels.unwrittenBytes(context.channel()) > 0) {
            closeGracefully(reason);
            return;
        }
        closing(reason);
        stopTimeout();
        context.close();
    }

    private boolean idle() {
        return state == State.IDLE && !unfinished();
    }

    private void readArrived() {
        Channels.readArrived(context.channel());
    }

    /**
     * Ends what the caller waits for, as this VM exits: a request that was not read whole is rejected, one that runs is
     * given up, those behind it are rejected.
     */
    void vmExits() {
        exiting = true;
        processQueued();
        if (state == State.CLOSING) {
            return;
        }
        readArrived();
        if (state == State.RUNNING) {
            exchange.vmExits();
        } else if (state == State.BODY || readingHead) {
            rejectUnread(ErrorKind.STOPPING, "this VM exits");
        } else if (idle()) {
            closeIdle(CloseReason.STOPPING);
        }
        if (state == State.IDLE) {
            context.executor().execute(this::vmExits);
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext ignored) {
        if (!context.channel().isWritable()) {
            return;
        }
        if (exchange != null) {
            exchange.resume();
        } else if (state == State.IDLE && !awaitingTurn) {
            context.executor().execute(this::processQueued);
        }
    }

    @Override
    public boolean droppable() {
        final boolean takesTurn = awaitingTurn && !queuedParts.isEmpty();
        return context != null && state != State.RUNNING && !takesTurn;
    }

    @Override
    public void drop() {
        final boolean unread = state == State.BODY || state == State.IDLE && readingHead;
        closing(CloseReason.DROPPED);
        stopTimeout();
        releaseBody();
        releaseQueued();
        if (Channels.unwrittenBytes(context.channel()) > 0) {
            Channels.reset(context.channel());
            return;
        }
        if (unread) {
            writeLast(ErrorKind.OVERLOADED);
        }
        context.close();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ignored, final Throwable cause) {
        shared.log()
                .line("caller_connection_failed")
                .with("state", state.name())
                .with("cause", String.valueOf(cause))
                .write();
        context.close();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ignored) {
        shared.connectionClosed(this);
        resumeReading();
        stopTimeout();
        if (exchange != null) {
            final CallExchange unfinished = exchange;
            exchange = null;
            unfinished.callerGone();
        }
        closing(CloseReason.CLOSED_BY_CALLER);
        releaseBody();
        releaseQueued();
        account.close();
    }

    private void startTimeout(final long millis) {
        stopTimeout();
        timeout = context.executor().schedule(this::onTimeout, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void onTimeout() {
        if (idle()) {
            closeIfIdle(CloseReason.IDLE);
            return;
        }
        if (state == State.IDLE && responsesUnread()) {
            closeIfNotReading();
            return;
        }
        final Future<?> elapsed = timeout;
        readArrived();
        final boolean progressed = timeout != elapsed;
        if (!progressed && (state == State.BODY || readingHead)) {
            rejectUnread(ErrorKind.SLOW_SENDER, "request timed out");
        }
    }

    /** Closes the connection unless the caller has read some of its responses since the last look. */
    private void closeIfNotReading() {
        final long unwritten = Channels.unwrittenBytes(context.channel());
        if (unwritten < unwrittenBefore) {
            unwrittenBefore = unwritten;
            account.setUnwritten(unwritten);
            startTimeout(bounds().idleTimeoutMillis());
        } else {
            closeGracefully(CloseReason.NOT_READING);
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void releaseQueued() {
        queuedParts.forEach(CallerConnection::release);
        queuedParts.clear();
    }

    private CallerBounds bounds() {
        return shared.core().bounds();
    }

    /** The states of a connection. */
    private enum State {
        /** Waits for a request, or reads its head; read parts of requests may be queued. */
        IDLE,
        /** Reads the body of a request. */
        BODY,
        /** Processes a request whose body is complete; what follows on the connection is queued. */
        RUNNING,
        /** Closes the connection and discards what is read. */
        CLOSING
    }
}
