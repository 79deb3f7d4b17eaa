package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.time.TimerService;

/**
 * Counts the requests of this VM for each adapter, to tell how many copies an adapter is worth.
 *
 * <p>Counts are halved at a fixed period, so that old traffic fades, and adapters that fade away are forgotten.
 * Confined to the decision loop.
 */
final class AdapterPopularity {
    private static final long HALF_LIFE_NANOS = Duration.ofSeconds(20).toNanos();
    private static final double FORGOTTEN_BELOW = 0.5;
    private static final double LEAST_COUNT = 8;
    private static final double COPIES_PER_FAIR_SHARE = 2;

    private final TimerService timers;
    private final Map<AdapterRef, Double> counts = new HashMap<>();
    private double total;
    private long halvedAtNanos;

    /**
     * Creates counts of zero.
     *
     * @param timers gives the time
     */
    AdapterPopularity(final TimerService timers) {
        this.timers = timers;
        this.halvedAtNanos = timers.nanoTime();
    }

    /**
     * Counts a request.
     *
     * @param adapter the version
     */
    void count(final AdapterRef adapter) {
        if (timers.nanoTime() - halvedAtNanos >= HALF_LIFE_NANOS) {
            halve();
        }
        counts.merge(adapter, 1.0, Double::sum);
        total++;
    }

    /**
     * Tells how many copies spread an adapter's requests so that none takes more than half of a target's fair share.
     *
     * @param adapter the version
     * @param targets how many targets share the traffic
     * @return the copies, at least one
     */
    int copies(final AdapterRef adapter, final int targets) {
        final double count = counts.getOrDefault(adapter, 0.0);
        if (count < LEAST_COUNT) {
            return 1;
        }
        return Math.max(1, (int) Math.ceil(count / total * targets * COPIES_PER_FAIR_SHARE));
    }

    private void halve() {
        halvedAtNanos = timers.nanoTime();
        counts.replaceAll((adapter, count) -> count / 2);
        counts.values().removeIf(count -> count < FORGOTTEN_BELOW);
        total = counts.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
