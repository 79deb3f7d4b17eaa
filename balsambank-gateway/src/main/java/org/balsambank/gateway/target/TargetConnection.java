package org.balsambank.gateway.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.gateway.loop.Channels;
import org.balsambank.gateway.loop.NextPoll;

/**
 * One connection to a target. Carries one request at a time.
 *
 * <p>Invariants: unsolicited bytes close the connection; it carries no request twice; a body in which another response
 * begins is not complete; a body without a length is complete only if the end of the target's stream was read. A closed
 * channel does not show that: a reset closes it too, without an exception if a write was the first to notice it. The
 * channel must therefore allow half-closure. Confined to the decision loop.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofMillis(1_000);
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(400);
    /** The most heads that are passed over while one request waits: a late copy for each request, or some hints. */
    private static final int MAX_OTHER_HEADS = 256;

    private static final String ANOTHER_RESPONSE = "another response in the body";

    private final TargetConnectionPool pool;
    private final StrictResponseDecoder decoder;
    private final CarriedRequests carried = new CarriedRequests();
    private final BodyScanner copies = new BodyScanner(carried::mayContainValue);
    private Channel channel;
    private TargetAttempt currentAttempt;
    private boolean reusable = true;
    private boolean informational;
    private boolean responseStarted;
    private boolean malformed;
    private int otherHeads;
    /** The end of a complete body, until what arrived behind it is read: it may be a part of another response. */
    private Optional<ByteBuf> heldEnd = Optional.empty();

    private long idleSinceNanos;
    private Duration keepAlive = DEFAULT_KEEP_ALIVE;

    /**
     * Creates the handler of a connection that is not open yet.
     *
     * @param pool the pool to which the connection returns
     * @param decoder the decoder of the connection
     */
    TargetConnection(final TargetConnectionPool pool, final StrictResponseDecoder decoder) {
        super(true);
        this.pool = Objects.requireNonNull(pool);
        this.decoder = Objects.requireNonNull(decoder);
    }

    /**
     * Writes a request on the connection.
     *
     * @param attempt the attempt whose request is written
     * @param open the open channel
     */
    void send(final TargetAttempt attempt, final Channel open) {
        channel = open;
        currentAttempt = attempt;
        responseStarted = false;
        otherHeads = 0;
        carried.add(attempt.id());
        decoder.expectResponse(attempt.hasNoBody());
        attempt.write(channel);
    }

    /**
     * Returns whether the connection may be reused for another request.
     *
     * @param nowNanos the monotonic time
     * @return false if it is closed, not reusable, or idle for so long that the target may be closing it
     */
    boolean usable(final long nowNanos) {
        return channel != null && channel.isActive() && reusable && nowNanos - idleSinceNanos < keepAlive.toNanos();
    }

    /**
     * Returns whether the connection may have carried a request before.
     *
     * @param id the id of the request
     * @return true if a late copy of its response could still come on this connection
     */
    boolean mayHaveCarried(final RequestId id) {
        return carried.mayContain(id);
    }

    /**
     * Closes the connection while it is idle.
     */
    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Closes the connection without reporting the current attempt as lost.
     *
     * <p>Before the response has started, a reset discards what the target has not received of the request. After that
     * the target has the request; a plain close is repeated by the system until it arrives, where a reset can be lost.
     */
    void cancel() {
        currentAttempt = null;
        releaseHeld();
        reusable = false;
        if (responseStarted) {
            channel.close();
        } else {
            Channels.reset(channel);
        }
    }

    /**
     * Returns the open channel.
     *
     * @return the channel
     */
    Channel channel() {
        return channel;
    }

    /**
     * Returns whether the connection is open, as far as was read; one that is not being read may have ended.
     *
     * @return false once either end has closed it
     */
    boolean open() {
        return channel != null && channel.isActive() && channel.config().isAutoRead() && !decoder.inputEnded();
    }

    /**
     * Returns whether the target has ended its side of the connection, so that no response can come.
     *
     * @return true once the end was read
     */
    boolean inputEnded() {
        return decoder.inputEnded();
    }

    /**
     * Finds out whether the process of the target has ended, after the response on this connection was lost.
     *
     * @return finds it out when subscribed
     */
    Single<LossFinding> checkLoss() {
        return malformed ? Single.just(LossFinding.MALFORMED) : pool.checkAfter(this);
    }

    /** Reads what has arrived by now, or a part of it. */
    void readArrived() {
        Channels.readArrived(channel);
    }

    /**
     * Resumes reading.
     */
    void resume() {
        channel.config().setAutoRead(true);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject message) {
        if (currentAttempt == null) {
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            malformed = !(message.decoderResult().cause() instanceof PrematureChannelClosureException);
            pool.faults().malformed(currentAttempt.id(), message.decoderResult().cause());
            connectionLost();
            return;
        }
        if (message instanceof HttpResponse head) {
            handleHead(head);
        }
        if (message instanceof HttpContent content && currentAttempt != null) {
            handleContent(content);
        }
    }

    private void handleHead(final HttpResponse head) {
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            malformed("a switch to another protocol");
            connectionLost();
            return;
        }
        if (informational) {
            otherHead();
            return;
        }
        responseStarted = true;
        copies.reset();
        reusable &= HttpUtil.isKeepAlive(head);
        final Optional<Duration> announced = pool.dialect().keepAliveTimeout(head);
        keepAlive = announced.map(time -> time.minus(KEEP_ALIVE_MARGIN)).orElse(DEFAULT_KEEP_ALIVE);
        final RequestId waiting = currentAttempt.id();
        final boolean own = currentAttempt.head(head);
        if (!own) {
            pool.faults().passedOver(waiting, head);
            otherHead();
        }
        reusable &= own && pool.dialect().hasRequestId(head);
    }

    /** Loses the request if its target sends heads without end that are not of its response. */
    private void otherHead() {
        otherHeads++;
        if (otherHeads > MAX_OTHER_HEADS) {
            malformed("too many heads of other responses");
            connectionLost();
        }
    }

    private void handleContent(final HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (informational) {
            return;
        }
        if (last && !channel.isActive()) {
            connectionLost();
            return;
        }
        final ByteBuf chunk = content.content();
        final TargetAttempt attempt = currentAttempt;
        if (attempt.foreignResponse()) {
            handleForeignChunk(attempt, content);
            return;
        }
        if (copies.append(chunk) || last && copies.appendBehindEnd(decoder.unreadBytes())) {
            malformed(ANOTHER_RESPONSE);
            connectionLost();
            return;
        }
        if (last) {
            heldEnd = Optional.of(chunk.retain());
            if (copies.endsUndecided() && !decoder.endResponse()) {
                NextPoll.runAfter(channel.eventLoop(), () -> completeHeld(attempt));
            } else {
                completeHeld(attempt);
            }
            return;
        }
        attempt.chunk(chunk.retain());
        if (currentAttempt != null && !attempt.writable()) {
            channel.config().setAutoRead(false);
        }
    }

    /** Completes the response whose end is held, unless it was completed, lost or cancelled since. */
    private void completeHeld(final TargetAttempt attempt) {
        if (heldEnd.isEmpty() || currentAttempt != attempt) {
            return;
        }
        final ByteBuf end = heldEnd.get();
        heldEnd = Optional.empty();
        currentAttempt = null;
        idleSinceNanos = System.nanoTime();
        reusable &= attempt.lastChunk(end);
        if (decoder.endResponse()) {
            unsolicitedBytes();
        }
        pool.release(this);
    }

    private void releaseHeld() {
        heldEnd.ifPresent(ByteBuf::release);
        heldEnd = Optional.empty();
    }

    private void handleForeignChunk(final TargetAttempt attempt, final HttpContent content) {
        if (!attempt.foreignChunk(content)) {
            malformed = true;
            pool.faults().swallowed(attempt.id());
            connectionLost();
        }
    }

    /**
     * Returns whether the connection may return to the pool.
     *
     * @return false after a protocol violation, a request to close the connection, its end, or too many requests
     */
    boolean reusable() {
        return reusable && channel.isActive() && !decoder.inputEnded() && !carried.full();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            completeHeld(currentAttempt);
            connectionLost();
        }
        super.userEventTriggered(context, event);
    }

    private void malformed(final String reason) {
        malformed = true;
        pool.faults().malformed(currentAttempt.id(), new DecoderException(reason));
    }

    private void unsolicitedBytes() {
        if (reusable) {
            pool.faults().unsolicited();
        }
        reusable = false;
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        final boolean unsolicited = cause instanceof StrictResponseDecoder.UnsolicitedBytesException;
        if (unsolicited && heldEnd.isPresent()) {
            malformed(ANOTHER_RESPONSE);
        } else if (unsolicited) {
            unsolicitedBytes();
        } else {
            completeHeld(currentAttempt);
        }
        reusable = false;
        connectionLost();
        context.close();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        completeHeld(currentAttempt);
        reusable = false;
        connectionLost();
        pool.remove(this);
    }

    private void connectionLost() {
        final TargetAttempt attempt = currentAttempt;
        currentAttempt = null;
        releaseHeld();
        reusable = false;
        if (channel != null) {
            channel.close();
        }
        if (attempt != null) {
            attempt.connectionLost();
        }
    }
}
