package org.balsambank.peer;

import java.time.Duration;
import java.util.function.IntSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.peer.PeerFrame;
import org.balsambank.protocol.generated.peer.PeerPing;
import org.balsambank.protocol.generated.peer.PeerPong;

/**
 * One peer connection with its keepalive check.
 *
 * <p>Confined to the decision loop. While calls are in flight, a quiet connection is pinged after the heartbeat
 * interval and closed after the silence timeout. Without calls, nothing is sent and the connection is closed after the
 * idle timeout. Time in which this VM itself was paused does not count as silence of the peer.
 */
final class FrameChannel {
    private static final PeerFrame PING =
            PeerFrame.newBuilder().setPing(PeerPing.getDefaultInstance()).build();
    private static final PeerFrame PONG =
            PeerFrame.newBuilder().setPong(PeerPong.getDefaultInstance()).build();
    private static final int PAUSE_FACTOR = 2;
    private static final int CHECKS_PER_IDLE_TIMEOUT = 6;

    private final Channel channel;
    private final PeerSettings settings;
    private final TimerService timer;
    private final PeerMetrics metrics;
    private final IntSupplier callsInFlight;
    private Disposable nextCheck;
    private boolean checkingCalls;
    private long lastReceived;
    private long lastCallInFlight;
    private long lastCheck;
    private Duration checkPeriod;
    private boolean closed;

    /**
     * Creates a channel and schedules its first check.
     *
     * @param channel the connection
     * @param settings the limits
     * @param timer the clock and scheduler
     * @param metrics the link metrics
     * @param callsInFlight returns the number of unfinished calls on this connection
     */
    FrameChannel(
            final Channel channel,
            final PeerSettings settings,
            final TimerService timer,
            final PeerMetrics metrics,
            final IntSupplier callsInFlight) {
        this.channel = channel;
        this.settings = settings;
        this.timer = timer;
        this.metrics = metrics;
        this.callsInFlight = callsInFlight;
        lastReceived = timer.nanoTime();
        lastCallInFlight = lastReceived;
        lastCheck = lastReceived;
        scheduleNextCheck();
    }

    /**
     * Records that a frame arrived, and replies to a ping.
     *
     * @param frame the received frame
     */
    void frameReceived(final PeerFrame frame) {
        lastReceived = timer.nanoTime();
        if (frame.hasPing()) {
            write(PONG);
        }
    }

    /** Prepares for a new call, before it is counted. If no call is in flight, the silence timeout restarts here. */
    void prepareForCall() {
        if (callsInFlight.getAsInt() == 0) {
            lastReceived = timer.nanoTime();
        }
        if (!checkingCalls) {
            nextCheck.dispose();
            lastCheck = timer.nanoTime();
            scheduleCheck(settings.heartbeat(), true);
        }
    }

    /** Schedules the next check: after a heartbeat with calls in flight, else after a fraction of the idle timeout. */
    private void scheduleNextCheck() {
        final boolean calls = callsInFlight.getAsInt() > 0;
        scheduleCheck(calls ? settings.heartbeat() : settings.idle().dividedBy(CHECKS_PER_IDLE_TIMEOUT), calls);
    }

    private void scheduleCheck(final Duration period, final boolean calls) {
        checkingCalls = calls;
        checkPeriod = period;
        nextCheck = timer.after(period).subscribe(this::check);
    }

    /**
     * Sends a frame.
     *
     * @param frame the frame
     */
    void write(final PeerFrame frame) {
        final ByteBuf bytes = FrameHandler.encode(frame);
        metrics.sent(bytes.readableBytes());
        channel.writeAndFlush(bytes);
    }

    /** Closes the connection and cancels the next check. */
    void close() {
        closed = true;
        nextCheck.dispose();
        channel.close();
    }

    private void check() {
        final long now = timer.nanoTime();
        if (now - lastCheck > checkPeriod.toNanos() * PAUSE_FACTOR) {
            lastReceived = now;
        }
        lastCheck = now;
        if (callsInFlight.getAsInt() > 0) {
            lastCallInFlight = now;
            checkSilence(now);
        } else if (reaches(now - lastCallInFlight, settings.idle())) {
            close();
        }
        if (!closed) {
            scheduleNextCheck();
        }
    }

    private void checkSilence(final long now) {
        if (reaches(now - lastReceived, settings.silence())) {
            metrics.silentLink();
            close();
        } else if (reaches(now - lastReceived, settings.heartbeat())) {
            metrics.ping();
            write(PING);
        }
    }

    private static boolean reaches(final long nanos, final Duration limit) {
        return nanos >= limit.toNanos();
    }
}
