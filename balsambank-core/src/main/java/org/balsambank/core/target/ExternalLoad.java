package org.balsambank.core.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the requests at a target that this VM did not send, from reports that lag.
 *
 * <p>A report may show any load of the last moments, so what this VM had in use at most in that time is taken off.
 * Confined to the decision loop.
 */
final class ExternalLoad {
    private static final long LAG_NANOS = AdapterResidency.REPORT_LAG.toNanos();

    private final Deque<Sample> samples = new ArrayDeque<>();
    private int foreign;

    /**
     * Takes note of the permits in use.
     *
     * @param nowNanos the monotonic time
     * @param inUse the permits in use from now on
     */
    void inUse(final long nowNanos, final int inUse) {
        long since = nowNanos;
        while (!samples.isEmpty() && samples.peekLast().inUse <= inUse) {
            since = samples.removeLast().nanos;
        }
        samples.addLast(new Sample(since, inUse));
        prune(nowNanos);
    }

    /**
     * Takes note of a report.
     *
     * @param nowNanos the monotonic time
     * @param reported the requests that run or wait at the target
     * @param inUse the permits in use now
     */
    void reported(final long nowNanos, final int reported, final int inUse) {
        prune(nowNanos);
        final int mostInUse = samples.isEmpty() ? inUse : Math.max(inUse, samples.peekFirst().inUse);
        foreign = Math.max(0, reported - mostInUse);
    }

    /**
     * Returns the estimate.
     *
     * @return the requests of others at the target
     */
    int estimate() {
        return foreign;
    }

    /** Forgets the estimate, since the target restarted. */
    void reset() {
        foreign = 0;
    }

    /** Drops the peaks that ended before the last moments; a peak ends when a later sample follows. */
    private void prune(final long nowNanos) {
        while (samples.size() > 1 && nowNanos - secondTime() > LAG_NANOS) {
            samples.removeFirst();
        }
    }

    private long secondTime() {
        final var iterator = samples.iterator();
        iterator.next();
        return iterator.next().nanos;
    }

    /** The permits in use from a time on. */
    private record Sample(long nanos, int inUse) {}
}
