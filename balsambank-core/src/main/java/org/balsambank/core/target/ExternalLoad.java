package org.balsambank.core.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the number of requests at a target that other VMs sent, from reports that lag.
 *
 * <p>A report may reflect the load at any time within {@link AdapterResidency#REPORT_LAG}, so the maximum number of
 * permits in use during that time is subtracted. Confined to the decision loop.
 */
final class ExternalLoad {
    private static final long LAG_NANOS = AdapterResidency.REPORT_LAG.toNanos();

    private final Deque<Sample> samples = new ArrayDeque<>();
    private int external;

    /**
     * Records a change of the number of permits in use.
     *
     * @param nowNanos the current monotonic time
     * @param inUse the number of permits in use from now on
     */
    void recordInUse(final long nowNanos, final int inUse) {
        long since = nowNanos;
        while (!samples.isEmpty() && samples.peekLast().inUse <= inUse) {
            since = samples.removeLast().nanos;
        }
        samples.addLast(new Sample(since, inUse));
        prune(nowNanos);
    }

    /**
     * Updates the estimate from a report.
     *
     * @param nowNanos the current monotonic time
     * @param reported the number of requests that run or wait at the target
     * @param inUse the number of permits in use now
     */
    void recordReport(final long nowNanos, final int reported, final int inUse) {
        prune(nowNanos);
        final int maxInUse = samples.isEmpty() ? inUse : Math.max(inUse, samples.peekFirst().inUse);
        external = Math.max(0, reported - maxInUse);
    }

    /**
     * Returns the estimate.
     *
     * @return the number of requests at the target that other VMs sent
     */
    int estimate() {
        return external;
    }

    /** Resets the estimate to zero. Called when the target restarted. */
    void reset() {
        external = 0;
    }

    /** Removes the peaks that ended before the lag window; a peak ends when the next sample begins. */
    private void prune(final long nowNanos) {
        while (samples.size() > 1 && nowNanos - secondSampleNanos() > LAG_NANOS) {
            samples.removeFirst();
        }
    }

    private long secondSampleNanos() {
        final var iterator = samples.iterator();
        iterator.next();
        return iterator.next().nanos;
    }

    /** The number of permits in use from a time on. Immutable and thread-safe. */
    private record Sample(long nanos, int inUse) {}
}
