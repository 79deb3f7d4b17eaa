package org.balsambank.core.serving.admission;

import java.time.Duration;

/**
 * An exponentially decaying sum of the units admitted within about the time that VMs need to learn of each other's
 * usage.
 *
 * <p>Invariant: never negative. Confined to the decision loop.
 */
final class RecentAdmissions {
    private static final double DECAY_NANOS = Duration.ofMillis(150).toNanos();

    private double units;
    private double count;
    private long atNanos;

    /**
     * Adds units.
     *
     * @param added the units, negative to return them
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    void add(final double added, final long nowNanos) {
        count = Math.max(0, count * remainingShare(nowNanos) + Math.signum(added));
        units = Math.max(0, units(nowNanos) + added);
        atNanos = nowNanos;
    }

    /**
     * Returns the decayed sum of units.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the units
     */
    double units(final long nowNanos) {
        return units * remainingShare(nowNanos);
    }

    /**
     * Returns the units without those of one request of average size, as a single request says nothing about what other
     * VMs admit at the same time.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the units, 0 if they stem from at most one request
     */
    double unitsBeyondOne(final long nowNanos) {
        final double requests = count * remainingShare(nowNanos);
        return requests <= 1 ? 0 : units(nowNanos) * (1 - 1 / requests);
    }

    private double remainingShare(final long nowNanos) {
        return Math.exp((atNanos - nowNanos) / DECAY_NANOS);
    }
}
