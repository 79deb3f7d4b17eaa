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
 * One connection with its watch for silence.
 *
 * <p>Confined to the decision loop. A link with calls under way is probed when quiet, and closed when it stays quiet;
 * a link without calls sends nothing and is closed when it has been idle for long. Time that this VM itself was
 * paused does not count as silence of the other.
 */
final class FrameChannel {
    private static final PeerFrame PING =
            PeerFrame.newBuilder().setPing(PeerPing.getDefaultInstance()).build();
    private static final PeerFrame PONG =
            PeerFrame.newBuilder().setPong(PeerPong.getDefaultInstance()).build();
    private static final int PAUSE_FACTOR = 2;
    private static final int IDLE_LOOKS = 6;

    private final Channel channel;
    private final PeerSettings settings;
    private final TimerService timer;
    private final PeerMetrics metrics;
    private final IntSupplier callsUnderWay;
    private Disposable watch;
    private boolean watchesCalls;
    private long lastHeard;
    private long lastBusy;
    private long lastTick;
    private Duration nextTick;
    private boolean closed;

    /**
     * Starts to watch a connection.
     *
     * @param channel the connection
     * @param settings the limits
     * @param timer gives the time
     * @param metrics counts what happens
     * @param callsUnderWay gives the number of calls that wait for something on this connection
     */
    FrameChannel(
            final Channel channel,
            final PeerSettings settings,
            final TimerService timer,
            final PeerMetrics metrics,
            final IntSupplier callsUnderWay) {
        this.channel = channel;
        this.settings = settings;
        this.timer = timer;
        this.metrics = metrics;
        this.callsUnderWay = callsUnderWay;
        lastHeard = timer.nanoTime();
        lastBusy = lastHeard;
        lastTick = lastHeard;
        watchAgain();
    }

    /**
     * Notes that something arrived, and answers a probe.
     *
     * @param frame what arrived
     */
    void heard(final PeerFrame frame) {
        lastHeard = timer.nanoTime();
        if (frame.hasPing()) {
            write(PONG);
        }
    }

    /** Notes that a call begins; silence is counted from here if there was none under way. */
    void callBegins() {
        if (callsUnderWay.getAsInt() == 0) {
            lastHeard = timer.nanoTime();
        }
        if (!watchesCalls) {
            watch.dispose();
            lastTick = timer.nanoTime();
            watchFor(settings.heartbeat(), true);
        }
    }

    /** Looks again after a heartbeat while calls are under way, else when the link may have been idle for long. */
    private void watchAgain() {
        final boolean calls = callsUnderWay.getAsInt() > 0;
        watchFor(calls ? settings.heartbeat() : settings.idle().dividedBy(IDLE_LOOKS), calls);
    }

    private void watchFor(final Duration period, final boolean calls) {
        watchesCalls = calls;
        nextTick = period;
        watch = timer.after(period).subscribe(this::tick);
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

    /** Closes the connection and ends the watch. */
    void close() {
        closed = true;
        watch.dispose();
        channel.close();
    }

    private void tick() {
        final long now = timer.nanoTime();
        if (now - lastTick > nextTick.toNanos() * PAUSE_FACTOR) {
            lastHeard = now;
        }
        lastTick = now;
        if (callsUnderWay.getAsInt() > 0) {
            lastBusy = now;
            probe(now);
        } else if (longerThan(now - lastBusy, settings.idle())) {
            close();
        }
        if (!closed) {
            watchAgain();
        }
    }

    private void probe(final long now) {
        if (longerThan(now - lastHeard, settings.silence())) {
            metrics.silentLink();
            close();
        } else if (longerThan(now - lastHeard, settings.heartbeat())) {
            metrics.ping();
            write(PING);
        }
    }

    private static boolean longerThan(final long nanos, final Duration limit) {
        return nanos >= limit.toNanos();
    }
}
