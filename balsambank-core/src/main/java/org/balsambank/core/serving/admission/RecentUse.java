package org.balsambank.core.serving.admission;

import java.time.Duration;

/**
 * What one VM has admitted within about the time that it takes the others to hear of it.
 *
 * <p>Invariant: never below zero. Confined to the decision loop.
 */
final class RecentUse {
    private static final double DECAY_NANOS = Duration.ofMillis(150).toNanos();

    private double units;
    private long atNanos;

    /**
     * Adds units.
     *
     * @param added the units, below zero to give back
     * @param nowNanos the monotonic time
     */
    void add(final double added, final long nowNanos) {
        units = Math.max(0, units(nowNanos) + added);
        atNanos = nowNanos;
    }

    /**
     * Returns the units that count as recent.
     *
     * @param nowNanos the monotonic time
     * @return the units
     */
    double units(final long nowNanos) {
        return units * Math.exp((atNanos - nowNanos) / DECAY_NANOS);
    }
}
