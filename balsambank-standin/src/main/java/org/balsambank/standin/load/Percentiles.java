package org.balsambank.standin.load;

import org.HdrHistogram.Histogram;

/**
 * Reads percentiles of durations.
 *
 * <p>Stateless and thread-safe.
 */
final class Percentiles {
    private static final double NANOS_PER_MILLI = 1e6;

    private Percentiles() {}

    /**
     * Returns a percentile in milliseconds.
     *
     * @param nanos durations in nanoseconds
     * @param percentile between 0 and 100
     * @return milliseconds, 0 if the histogram is empty
     */
    static double millis(final Histogram nanos, final double percentile) {
        return nanos.getTotalCount() == 0 ? 0 : nanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
