package org.balsambank.core.serving.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

import org.balsambank.core.id.TargetId;

/**
 * Exponentially weighted averages of each target's slowdown relative to its estimates, and of its failure rate.
 *
 * <p>They reveal gray failures: targets that announce themselves as healthy but respond slowly or fail requests.
 * Confined to the decision loop.
 */
public final class TargetPerformance {
    private static final double SLOWDOWN_WEIGHT = 0.25;
    private static final double FAILURE_WEIGHT = 0.15;
    private static final double MIN_SLOWDOWN = 0.5;
    private static final double MAX_SLOWDOWN = 10;
    private static final double FADING_NANOS = 1e9;

    private final LongSupplier nanoTime;
    private final Map<TargetId, Averages> averages = new HashMap<>();

    /**
     * Creates an instance without measurements.
     *
     * @param nanoTime the monotonic clock
     */
    public TargetPerformance(final LongSupplier nanoTime) {
        this.nanoTime = Objects.requireNonNull(nanoTime);
    }

    /**
     * Records the time to a first chunk.
     *
     * @param target the target
     * @param estimateMillis the estimate at the time of sending, without the slowdown; ignored unless positive
     * @param actualMillis the measured time
     */
    public void firstChunk(final TargetId target, final double estimateMillis, final double actualMillis) {
        if (estimateMillis <= 0) {
            return;
        }
        final double ratio = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, actualMillis / estimateMillis));
        final Averages targetAverages = averages.computeIfAbsent(target, ignored -> new Averages());
        targetAverages.measuredNanos = nanoTime.getAsLong();
        targetAverages.slowdown += SLOWDOWN_WEIGHT * (ratio - targetAverages.slowdown);
    }

    /**
     * Records the end of a request.
     *
     * @param target the target
     * @param failed whether the target failed the request
     */
    public void ended(final TargetId target, final boolean failed) {
        final Averages targetAverages = averages.computeIfAbsent(target, ignored -> new Averages());
        targetAverages.measuredNanos = nanoTime.getAsLong();
        targetAverages.failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - targetAverages.failureRate);
    }

    /**
     * Discards the measurements of a target that has restarted.
     *
     * @param target the target
     */
    public void remove(final TargetId target) {
        averages.remove(target);
    }

    /**
     * Returns the slowdown of a target.
     *
     * @param target the target
     * @return the average ratio of measured to estimated time, 1 if unknown
     */
    public double slowdown(final TargetId target) {
        final Averages targetAverages = averages.get(target);
        return targetAverages == null ? 1 : targetAverages.slowdown;
    }

    /**
     * Returns the failure rate of a target.
     *
     * @param target the target
     * @return the share of failed requests, from 0 to 1
     */
    public double failureRate(final TargetId target) {
        final Averages targetAverages = averages.get(target);
        return targetAverages == null ? 0 : targetAverages.failureRate;
    }

    /**
     * Returns the slowdown of a target, which fades without further measurements. Otherwise a target that was slow once
     * would get no requests that show that it no longer is, and none from any VM if one VM chooses for all.
     *
     * @param target the target
     * @return the slowdown, moved towards 1
     */
    public double fadingSlowdown(final TargetId target) {
        final Averages targetAverages = averages.get(target);
        return targetAverages == null ? 1 : 1 + (targetAverages.slowdown - 1) * weight(targetAverages);
    }

    /**
     * Returns the failure rate of a target, which fades without further measurements.
     *
     * @param target the target
     * @return the failure rate, moved towards 0
     */
    public double fadingFailureRate(final TargetId target) {
        final Averages targetAverages = averages.get(target);
        return targetAverages == null ? 0 : targetAverages.failureRate * weight(targetAverages);
    }

    private double weight(final Averages measured) {
        return Math.exp(-(nanoTime.getAsLong() - measured.measuredNanos) / FADING_NANOS);
    }

    /** The averages of one target. */
    private static final class Averages {
        private double slowdown = 1;
        private double failureRate;
        private long measuredNanos;
    }
}
