package org.balsambank.core.time;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Notices that the time of day and the monotonic clock have moved apart since a mark: the VM was suspended, which the
 * monotonic clock does not count, or the time of day was stepped.
 *
 * <p>Confined to the decision loop.
 */
public final class ClockJumpDetector {
    private static final long TOLERANCE_MILLIS = 400;

    private final TimerService timer;
    private final LongSupplier wallMillis;
    private long sentNanos;
    private long sentWallMillis;
    private long markNanos;
    private long markWallMillis;

    /**
     * Creates a gap that is closed.
     *
     * @param timer gives the monotonic time
     * @param wallMillis gives the time of day in milliseconds
     */
    public ClockJumpDetector(final TimerService timer, final LongSupplier wallMillis) {
        this.timer = Objects.requireNonNull(timer);
        this.wallMillis = Objects.requireNonNull(wallMillis);
        requestSent();
        responseReceived();
    }

    /** A question is sent outside whose answer will confirm that no time was missing until now. */
    public void requestSent() {
        sentNanos = timer.nanoTime();
        sentWallMillis = wallMillis.getAsLong();
    }

    /** The answer to the last question is here: the gap is measured from when it was sent. */
    public void responseReceived() {
        markNanos = sentNanos;
        markWallMillis = sentWallMillis;
    }

    /**
     * Tells whether the clocks have moved apart since the mark.
     *
     * @return true if time may be missing
     */
    public boolean jumped() {
        final long counted = Duration.ofNanos(timer.nanoTime() - markNanos).toMillis();
        final long passed = wallMillis.getAsLong() - markWallMillis;
        return Math.abs(passed - counted) > TOLERANCE_MILLIS;
    }
}
