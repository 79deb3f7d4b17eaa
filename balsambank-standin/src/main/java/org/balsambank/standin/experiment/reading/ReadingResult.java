package org.balsambank.standin.experiment.reading;

import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * The measurements of the answers of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the policy
 * @param answers the number of answers
 * @param paused the fraction of answers with a pause longer than {@link #MAX_PAUSE_MILLIS}
 * @param longPaused the same fraction of the long answers
 * @param late the fraction of answers whose first event missed the latency objective
 * @param p50Millis the median time from arrival to the first event
 * @param p95Millis the 95th percentile of that time
 * @param p99Millis the 99th percentile of that time
 */
record ReadingResult(
        String name,
        int answers,
        double paused,
        double longPaused,
        double late,
        long p50Millis,
        long p95Millis,
        long p99Millis) {
    /** The longest pause between two events that does not count as paused, in milliseconds. */
    static final double MAX_PAUSE_MILLIS = 400;

    private static final double OBJECTIVE_MILLIS = 1_000;
    private static final int DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    /**
     * Computes the measurements of answers.
     *
     * @param name the policy
     * @param completed the completed answers
     * @return the measurements
     */
    static ReadingResult of(final String name, final List<SimulatedRequest> completed) {
        final Histogram first = new Histogram(DIGITS);
        completed.forEach(each -> first.recordValue(Math.round(each.firstEventMillis() - each.arrivedMillis)));
        final List<SimulatedRequest> longAnswers =
                completed.stream().filter(each -> each.isLong).toList();
        return new ReadingResult(
                name,
                completed.size(),
                paused(completed),
                paused(longAnswers),
                share(
                        completed.stream()
                                .filter(each -> each.firstEventMillis() - each.arrivedMillis > OBJECTIVE_MILLIS)
                                .count(),
                        completed),
                first.getValueAtPercentile(MEDIAN),
                first.getValueAtPercentile(P95),
                first.getValueAtPercentile(P99));
    }

    private static double paused(final List<SimulatedRequest> streams) {
        return share(
                streams.stream()
                        .filter(each -> each.longestPauseMillis() > MAX_PAUSE_MILLIS)
                        .count(),
                streams);
    }

    private static double share(final long count, final List<SimulatedRequest> all) {
        return all.isEmpty() ? 0 : (double) count / all.size();
    }
}
