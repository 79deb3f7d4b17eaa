package org.balsambank.core.target;

/**
 * Adapts the permit limit of a target: low after a start, increasing while requests complete with normal latency, and
 * halved when the target refuses a request. A latency is normal if it is at most twice the moving average.
 *
 * <p>Invariant: the limit is between one and the target's concurrency. Confined to the decision loop.
 */
final class SlowStart {
    private static final int START_LIMIT = 2;
    private static final double INCREASE_FACTOR = 1.5;
    private static final double DECREASE_FACTOR = 0.5;
    private static final double NORMAL_LATENCY_FACTOR = 2;
    private static final double LATENCY_SMOOTHING = 0.05;

    private int maximum;
    private int limit;
    private int normalCompletions;
    private double averageLatencyNanos;

    /**
     * Creates the limit of a target that has just started.
     *
     * @param maximum the configured concurrency of the target
     */
    SlowStart(final int maximum) {
        this.maximum = maximum;
        restart();
    }

    /**
     * Returns the current limit.
     *
     * @return the number of permits
     */
    int limit() {
        return limit;
    }

    /** Resets the limit to its start value. Called when the target may be slow at first, as after a restart. */
    void restart() {
        limit = Math.max(1, Math.min(START_LIMIT, maximum));
        normalCompletions = 0;
    }

    /**
     * Resets the limit to the number of requests that the target already runs, but at least to the start value and at
     * most to the maximum. Called when this VM has taken over the target.
     *
     * @param running the number of requests that the target runs now
     */
    void resumeAt(final int running) {
        restart();
        limit = Math.max(limit, Math.min(running, maximum));
    }

    /**
     * Changes the maximum.
     *
     * @param newMaximum the configured concurrency of the target
     */
    void changeMaximum(final int newMaximum) {
        maximum = newMaximum;
        limit = Math.max(1, Math.min(limit, maximum));
    }

    /**
     * Records a completed request. The limit increases after as many requests with normal latency as the current limit;
     * requests that complete while less than half of the limit is in use do not count towards this, but do enter the
     * average latency.
     *
     * @param latencyNanos the time from the grant of the permit to the end of the request, in nanoseconds
     * @param inUse the number of permits in use before the request ended
     */
    void recordCompleted(final long latencyNanos, final int inUse) {
        final boolean normal = averageLatencyNanos == 0 || latencyNanos <= NORMAL_LATENCY_FACTOR * averageLatencyNanos;
        averageLatencyNanos = averageLatencyNanos == 0
                ? latencyNanos
                : averageLatencyNanos + LATENCY_SMOOTHING * (latencyNanos - averageLatencyNanos);
        if (!normal || inUse * 2 < limit) {
            return;
        }
        normalCompletions++;
        if (normalCompletions >= limit) {
            normalCompletions = 0;
            limit = Math.min(maximum, (int) Math.ceil(limit * INCREASE_FACTOR));
        }
    }

    /** Records that the target refused a request, which halves the limit. */
    void recordRefused() {
        limit = Math.max(1, (int) (limit * DECREASE_FACTOR));
        normalCompletions = 0;
    }
}
