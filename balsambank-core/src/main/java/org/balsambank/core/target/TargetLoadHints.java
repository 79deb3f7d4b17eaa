package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.time.TimerService;

/**
 * Stores the last load reported by the owner of each target.
 *
 * <p>Invariant: a hint expires 3 seconds after it was recorded. Confined to the decision loop.
 */
final class TargetLoadHints {
    private static final long TTL_NANOS = Duration.ofSeconds(3).toNanos();
    private static final int PRUNE_THRESHOLD = 256;

    private final TimerService timers;
    private final Map<TargetId, Hint> hints = new HashMap<>();

    /**
     * Creates an empty store.
     *
     * @param timers the timer service
     */
    TargetLoadHints(final TimerService timers) {
        this.timers = timers;
    }

    /**
     * Records a hint.
     *
     * @param target the target that the hint describes
     * @param load the number of running or queued requests divided by the target's permit limit
     */
    void record(final TargetId target, final double load) {
        final long now = timers.nanoTime();
        if (hints.size() > PRUNE_THRESHOLD) {
            hints.values().removeIf(hint -> now - hint.nanos >= TTL_NANOS);
        }
        hints.put(target, new Hint(load, now));
    }

    /**
     * Returns the load of a target.
     *
     * @param target the target to look up
     * @return the last hint, or zero if there is none or it has expired
     */
    double load(final TargetId target) {
        final Hint hint = hints.get(target);
        return hint == null || timers.nanoTime() - hint.nanos >= TTL_NANOS ? 0 : hint.load;
    }

    /** A hint and the monotonic time at which it was recorded. */
    private record Hint(double load, long nanos) {}
}
