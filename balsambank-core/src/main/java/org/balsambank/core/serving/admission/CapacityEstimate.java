package org.balsambank.core.serving.admission;

import java.time.Duration;

/**
 * Estimates how much load the targets of a service finish in time, from what they begin to answer and how long that
 * takes.
 *
 * <p>While the mean wait is near its target the targets are busy, and the capacity follows the rate at which responses
 * begin. While it is lower the capacity is only known to be higher, so the estimate rises. The limit is the estimate,
 * corrected such that the wait approaches its target: a backlog is worked off within about a second. Invariant: the
 * estimate is at least half of the highest rate seen lately, so that slowness that has other causes than load cannot
 * lower it again and again. Confined to the decision loop.
 */
final class CapacityEstimate {
    /** The share of the target from which the wait shows that the targets are busy. */
    private static final double BUSY = 0.7;

    private static final double FOLLOW_SECONDS = 1;

    /** While the targets are busy, the capacity is hardly more than the rate at which responses begin. */
    private static final double MAX_EXCESS = 1.2;

    private static final double GROWTH_PER_SECOND = 0.5;
    private static final double CORRECTION = 0.6;
    private static final double MIN_CORRECTION = 0.4;
    private static final double MAX_CORRECTION = 1.4;
    private static final double PEAK_SECONDS = 60;
    private static final double MIN_SHARE_OF_PEAK = 0.5;

    /** The longest time between two updates that counts, as a paused VM knows nothing of the time between. */
    private static final double MAX_STEP_SECONDS = 0.5;

    private double capacity = Double.POSITIVE_INFINITY;
    private double peak;
    private long atNanos;

    /**
     * Creates an estimate without a limit.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    CapacityEstimate(final long nowNanos) {
        atNanos = nowNanos;
    }

    /**
     * Updates the estimate.
     *
     * @param begun the units per second of requests whose response begins
     * @param waitRatio the mean wait as a multiple of its target
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the units per second to admit
     */
    double update(final double begun, final double waitRatio, final long nowNanos) {
        final double seconds = Math.min(
                MAX_STEP_SECONDS,
                Duration.ofNanos(Math.max(0, nowNanos - atNanos)).toNanos() / 1e9);
        atNanos = nowNanos;
        peak = Math.max(begun, peak * Math.exp(-seconds / PEAK_SECONDS));
        if (waitRatio >= BUSY) {
            capacity = Math.min(capacity, MAX_EXCESS * begun);
            capacity += (begun - capacity) * (1 - Math.exp(-seconds / FOLLOW_SECONDS));
        } else {
            capacity = Math.max(begun, capacity * Math.exp(GROWTH_PER_SECOND * seconds));
        }
        capacity = Math.max(capacity, MIN_SHARE_OF_PEAK * peak);
        final double correction = 1 + CORRECTION * (1 - waitRatio);
        return capacity * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction));
    }
}
