package org.balsambank.core.team;

import java.time.Duration;

/**
 * Estimates demand in units per second with an exponentially decaying average.
 *
 * <p>Confined to one thread.
 */
final class DemandMeter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantSeconds;
    private double perSecond;
    private long updatedNanos;

    /**
     * Creates a meter with an estimate of zero.
     *
     * @param timeConstant the time constant of the decay
     * @param nowNanos the current monotonic time
     */
    DemandMeter(final Duration timeConstant, final long nowNanos) {
        this.timeConstantSeconds = timeConstant.toNanos() / NANOS_PER_SECOND;
        this.updatedNanos = nowNanos;
    }

    /**
     * Records requested units.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     */
    void add(final double units, final long nowNanos) {
        perSecond = perSecond(nowNanos) + units / timeConstantSeconds;
        updatedNanos = nowNanos;
    }

    /**
     * Returns the estimated demand.
     *
     * @param nowNanos the current monotonic time
     * @return the rate in units per second
     */
    double perSecond(final long nowNanos) {
        return perSecond * Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND / timeConstantSeconds);
    }
}
