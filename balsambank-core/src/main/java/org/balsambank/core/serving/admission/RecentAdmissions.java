package org.balsambank.core.serving.admission;

import java.time.Duration;

/**
 * What was admitted within about the time that it takes VMs to hear of each other.
 *
 * <p>Invariant: never below zero. Confined to the decision loop.
 */
final class RecentAdmissions {
    private static final double DECAY_NANOS = Duration.ofMillis(150).toNanos();

    private double units;
    private double count;
    private long atNanos;

    /**
     * Adds units.
     *
     * @param added the units, below zero to give back
     * @param nowNanos the monotonic time
     */
    void add(final double added, final long nowNanos) {
        count = Math.max(0, count * left(nowNanos) + Math.signum(added));
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
        return units * left(nowNanos);
    }

    /**
     * Returns the units without those of one request of the usual size: a single request tells nothing of what other
     * VMs admit at the same time.
     *
     * @param nowNanos the monotonic time
     * @return the units, 0 if they are of one request
     */
    double unitsBeyondOne(final long nowNanos) {
        final double requests = count * left(nowNanos);
        return requests <= 1 ? 0 : units(nowNanos) * (1 - 1 / requests);
    }

    private double left(final long nowNanos) {
        return Math.exp((atNanos - nowNanos) / DECAY_NANOS);
    }
}
