package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.Objects;

import org.balsambank.core.time.TimerService;

/**
 * Decides which requests a VM still accepts while it stops: until callers have been sent elsewhere all of them, then
 * those that have ended in any case before the VM exits.
 *
 * <p>Confined to the decision loop.
 */
public final class StopWindow {
    private final TimerService timer;
    private boolean stopping;
    private long noticedNanos;
    private long exitNanos;

    /**
     * Creates the window of a VM that does not stop.
     *
     * @param timer the timer service
     */
    public StopWindow(final TimerService timer) {
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Begins the stop.
     *
     * @param untilNoticed the time until callers have been sent elsewhere
     * @param untilExit the time until the VM exits
     */
    public void begin(final Duration untilNoticed, final Duration untilExit) {
        final long now = timer.nanoTime();
        stopping = true;
        noticedNanos = now + untilNoticed.toNanos();
        exitNanos = now + untilExit.toNanos();
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param deadlineNanos the time at which it ends at the latest, on the monotonic clock
     * @return false if the VM may exit before the request ends
     */
    public boolean accepts(final long deadlineNanos) {
        return !stopping || timer.nanoTime() < noticedNanos || deadlineNanos <= exitNanos;
    }
}
