package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.time.TimerService;

/**
 * Keeps what owners said last about the load of their targets.
 *
 * <p>Invariant: a hint counts for a few seconds only. State is kept for targets in use. Confined to the decision loop.
 */
final class TargetLoadHints {
    private static final long LIFE_NANOS = Duration.ofSeconds(3).toNanos();
    private static final int PRUNE_ABOVE = 256;

    private final TimerService timers;
    private final Map<TargetId, Hint> hints = new HashMap<>();

    /**
     * Creates an empty store.
     *
     * @param timers gives the time
     */
    TargetLoadHints(final TimerService timers) {
        this.timers = timers;
    }

    /**
     * Takes note of a hint.
     *
     * @param target the target
     * @param load requests that run or wait per unit of the target's limit
     */
    void note(final TargetId target, final double load) {
        final long now = timers.nanoTime();
        if (hints.size() > PRUNE_ABOVE) {
            hints.values().removeIf(hint -> now - hint.nanos >= LIFE_NANOS);
        }
        hints.put(target, new Hint(load, now));
    }

    /**
     * Returns the load of a target.
     *
     * @param target the target
     * @return the last hint, or zero if there is none that still counts
     */
    double load(final TargetId target) {
        final Hint hint = hints.get(target);
        return hint == null || timers.nanoTime() - hint.nanos >= LIFE_NANOS ? 0 : hint.load;
    }

    /** A hint and when it came. */
    private record Hint(double load, long nanos) {}
}
