package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.time.TimerService;

/**
 * Counts this VM's requests per adapter to determine how many copies of each adapter to use.
 *
 * <p>Counts are halved periodically, which gives an exponential decay of old traffic. Adapters whose count has decayed
 * are removed. Confined to the decision loop.
 */
final class AdapterPopularity {
    private static final long HALF_LIFE_NANOS = Duration.ofSeconds(20).toNanos();
    private static final double REMOVE_BELOW = 0.5;
    private static final double MIN_COUNT = 8;
    private static final double COPIES_PER_FAIR_SHARE = 2;

    private final TimerService timers;
    private final Map<AdapterRef, Double> counts = new HashMap<>();
    private double total;
    private long decayedAtNanos;

    /**
     * Creates counters that are all zero.
     *
     * @param timers the timer service
     */
    AdapterPopularity(final TimerService timers) {
        this.timers = timers;
        this.decayedAtNanos = timers.nanoTime();
    }

    /**
     * Counts a request.
     *
     * @param adapter the adapter version
     */
    void count(final AdapterRef adapter) {
        if (timers.nanoTime() - decayedAtNanos >= HALF_LIFE_NANOS) {
            decay();
        }
        counts.merge(adapter, 1.0, Double::sum);
        total++;
    }

    /**
     * Returns the number of copies over which an adapter's requests are spread so that no copy takes more than half of
     * a target's fair share.
     *
     * @param adapter the adapter version
     * @param targets the number of targets that share the traffic
     * @return the number of copies, at least one; one while the adapter has too few requests to be significant
     */
    int copies(final AdapterRef adapter, final int targets) {
        final double count = counts.getOrDefault(adapter, 0.0);
        if (count < MIN_COUNT) {
            return 1;
        }
        return Math.max(1, (int) Math.ceil(count / total * targets * COPIES_PER_FAIR_SHARE));
    }

    private void decay() {
        decayedAtNanos = timers.nanoTime();
        counts.replaceAll((adapter, count) -> count / 2);
        counts.values().removeIf(count -> count < REMOVE_BELOW);
        total = counts.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
