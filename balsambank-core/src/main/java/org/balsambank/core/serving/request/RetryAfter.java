package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes the retry delay for a rejected caller.
 *
 * <p>Callers that are rejected together would also retry together. The delays are therefore jittered, starting at the
 * time when capacity is expected. Stateless and thread-safe.
 */
public final class RetryAfter {
    private static final double MIN_MILLIS = 40;
    private static final double MAX_MILLIS = 1_500;
    private static final double JITTER = 0.8;
    private static final double SPREAD_MILLIS = 500;

    private RetryAfter() {}

    /**
     * Returns a jittered delay.
     *
     * @param expectedMillis the time until capacity is expected
     * @param random the source of the jitter
     * @return the delay before the caller should retry
     */
    public static Duration jitteredDelay(final double expectedMillis, final RandomGenerator random) {
        final double base = Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, expectedMillis));
        return Duration.ofMillis(Math.round(base * (1 + JITTER * random.nextDouble())));
    }

    /**
     * Returns a delay that ends after a known time, spread so that callers do not return at the same moment.
     *
     * @param known the time until capacity is expected
     * @param random the source of the spread
     * @return the delay before the caller should retry
     */
    public static Duration spreadAfter(final Duration known, final RandomGenerator random) {
        return known.plusMillis(Math.round(MIN_MILLIS + SPREAD_MILLIS * random.nextDouble()));
    }
}
