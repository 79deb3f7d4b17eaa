package org.balsambank.core.time;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Detects that the wall clock and the monotonic clock have diverged since the last confirmation. This happens when the
 * VM was suspended, because the monotonic clock does not count suspended time, or when the wall clock was stepped.
 *
 * <p>Confined to the decision loop.
 */
public final class ClockJumpDetector {
    private static final long TOLERANCE_MILLIS = 400;

    private final TimerService timer;
    private final LongSupplier wallMillis;
    private long sentNanos;
    private long sentWallMillis;
    private long confirmedNanos;
    private long confirmedWallMillis;

    /**
     * Creates a detector that starts from the current readings of both clocks.
     *
     * @param timer supplies the monotonic time
     * @param wallMillis supplies the wall clock time in milliseconds
     */
    public ClockJumpDetector(final TimerService timer, final LongSupplier wallMillis) {
        this.timer = Objects.requireNonNull(timer);
        this.wallMillis = Objects.requireNonNull(wallMillis);
        requestSent();
        responseReceived();
    }

    /**
     * Records the clocks when a request to another system is sent. The response to it confirms that no time was lost
     * before this point.
     */
    public void requestSent() {
        sentNanos = timer.nanoTime();
        sentWallMillis = wallMillis.getAsLong();
    }

    /**
     * Confirms the clocks recorded with the last request. The divergence is measured from the time at which that
     * request was sent.
     */
    public void responseReceived() {
        confirmedNanos = sentNanos;
        confirmedWallMillis = sentWallMillis;
    }

    /**
     * Returns whether the clocks have diverged since the last confirmation.
     *
     * @return true if they differ by more than 400 ms, so time may have been lost
     */
    public boolean jumped() {
        final long monotonicMillis =
                Duration.ofNanos(timer.nanoTime() - confirmedNanos).toMillis();
        final long elapsedWallMillis = wallMillis.getAsLong() - confirmedWallMillis;
        return Math.abs(elapsedWallMillis - monotonicMillis) > TOLERANCE_MILLIS;
    }
}
