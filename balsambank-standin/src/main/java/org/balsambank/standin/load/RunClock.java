package org.balsambank.standin.load;

/**
 * Measures the time since the start of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param startNanos the monotonic time at which the run started
 */
record RunClock(long startNanos) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns the time since the start.
     *
     * @return the time in nanoseconds
     */
    long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }

    /**
     * Converts nanoseconds to seconds.
     *
     * @param nanos the time in nanoseconds
     * @return the time in seconds
     */
    static double seconds(final long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
