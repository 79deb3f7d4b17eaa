package org.balsambank.core.serving.admission;

/**
 * An exponentially decaying sum of the units admitted within about the time that VMs need to learn of each other's
 * usage. Each call names the decay time, as that time changes.
 *
 * <p>Invariant: never negative. Confined to the decision loop.
 */
final class RecentAdmissions {
    private double units;
    private double count;
    private long atNanos;

    /**
     * Adds units.
     *
     * @param added the units, negative to return them
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param decayNanos the decay time, in nanoseconds
     */
    void add(final double added, final long nowNanos, final double decayNanos) {
        count = Math.max(0, count * remainingShare(nowNanos, decayNanos) + Math.signum(added));
        units = Math.max(0, units(nowNanos, decayNanos) + added);
        atNanos = nowNanos;
    }

    /**
     * Returns the decayed sum of units.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param decayNanos the decay time, in nanoseconds
     * @return the units
     */
    double units(final long nowNanos, final double decayNanos) {
        return units * remainingShare(nowNanos, decayNanos);
    }

    /**
     * Returns the units without those of some requests of average size, as a few requests say nothing about what other
     * VMs admit at the same time.
     *
     * @param requests the number of these requests
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param decayNanos the decay time, in nanoseconds
     * @return the units, 0 if they stem from at most that many requests
     */
    double unitsBeyond(final double requests, final long nowNanos, final double decayNanos) {
        final double recent = count * remainingShare(nowNanos, decayNanos);
        return recent <= requests ? 0 : units(nowNanos, decayNanos) * (1 - requests / recent);
    }

    /**
     * Returns the average size of a request.
     *
     * @param otherwise the result if no request was added
     * @return the units
     */
    double average(final double otherwise) {
        return count <= 0 || units <= 0 ? otherwise : units / count;
    }

    private double remainingShare(final long nowNanos, final double decayNanos) {
        return Math.exp((atNanos - nowNanos) / decayNanos);
    }
}
