package org.balsambank.gateway.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One connection to a target. Serves one send at a time.
 *
 * <p>Invariants: bytes that nobody asked for end the connection; a body without a length is whole only if its
 * connection ended without an error. Confined to the decision loop.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofMillis(1_000);
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(400);

    private final TargetConnectionPool pool;
    private final StrictResponseDecoder decoder;
    private Channel channel;
    private TargetAttempt current;
    private boolean reusable = true;
    private boolean informational;
    private long idleSinceNanos;
    private Duration keepAlive = DEFAULT_KEEP_ALIVE;

    /**
     * Creates a connection that is not open.
     *
     * @param pool takes it back after each send
     * @param decoder decodes its answers
     */
    TargetConnection(final TargetConnectionPool pool, final StrictResponseDecoder decoder) {
        super(true);
        this.pool = Objects.requireNonNull(pool);
        this.decoder = Objects.requireNonNull(decoder);
    }

    /**
     * Begins a send.
     *
     * @param send the send
     * @param open the open connection
     */
    void begin(final TargetAttempt send, final Channel open) {
        channel = open;
        current = send;
        decoder.bodiless(send.bodiless());
        send.write(channel);
    }

    /**
     * Tells whether it may carry one more send.
     *
     * @param nowNanos the monotonic time
     *
     * @return false if it was idle for so long that the target may be closing it
     */
    boolean usable(final long nowNanos) {
        return channel != null && channel.isActive() && reusable && nowNanos - idleSinceNanos < keepAlive.toNanos();
    }

    /**
     * Ends the connection and tells nobody.
     */
    void close() {
        current = null;
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Returns the open connection.
     *
     * @return the channel
     */
    Channel channel() {
        return channel;
    }

    /**
     * Reads on.
     */
    void resume() {
        channel.config().setAutoRead(true);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpObject message) {
        if (current == null) {
            reusable = false;
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            lost();
            return;
        }
        if (message instanceof HttpResponse head) {
            head(head);
        }
        if (message instanceof HttpContent content && current != null) {
            content(content);
        }
    }

    private void head(final HttpResponse head) {
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            reusable &= head.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
            return;
        }
        reusable &= HttpUtil.isKeepAlive(head);
        final Optional<Duration> told = pool.dialect().keepAlive(head);
        keepAlive = told.map(time -> time.minus(KEEP_ALIVE_MARGIN)).orElse(DEFAULT_KEEP_ALIVE);
        if (!current.head(head)) {
            reusable = false;
        }
    }

    private void content(final HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (informational) {
            return;
        }
        final ByteBuf piece = content.content();
        final TargetAttempt send = current;
        if (last && send.foreign()) {
            send.foreignEnded();
            return;
        }
        if (last) {
            current = null;
            idleSinceNanos = System.nanoTime();
            send.last(piece.retain());
            pool.released(this);
            return;
        }
        send.piece(piece.retain());
        if (current != null && !send.writable()) {
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Tells whether it may be kept.
     *
     * @return false after anything unexpected
     */
    boolean reusable() {
        return reusable && channel.isActive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        reusable = false;
        lost();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        reusable = false;
        lost();
        pool.closed(this);
    }

    private void lost() {
        final TargetAttempt send = current;
        current = null;
        reusable = false;
        if (channel != null) {
            channel.close();
        }
        if (send != null) {
            send.lost();
        }
    }
}
