package org.balsambank.core.serving.admission;

import java.time.Duration;

/**
 * An exponentially decaying estimate of a rate per second.
 *
 * <p>Invariant: never negative. Confined to the decision loop.
 */
final class DecayedRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double decayNanos;
    private double sum;
    private long atNanos;

    /**
     * Creates a rate of zero.
     *
     * @param decay the time constant
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    DecayedRate(final Duration decay, final long nowNanos) {
        decayNanos = decay.toNanos();
        atNanos = nowNanos;
    }

    /** Adds an amount at the current time. */
    void add(final double amount, final long nowNanos) {
        sum = sum * remaining(nowNanos) + Math.max(0, amount);
        atNanos = nowNanos;
    }

    /** Returns the rate per second. */
    double perSecond(final long nowNanos) {
        return sum * remaining(nowNanos) / decayNanos * NANOS_PER_SECOND;
    }

    private double remaining(final long nowNanos) {
        return Math.exp(Math.min(0, atNanos - nowNanos) / decayNanos);
    }
}
