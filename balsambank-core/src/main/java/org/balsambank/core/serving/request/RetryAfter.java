package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Tells a refused caller when to come back.
 *
 * <p>Answers the load pattern of callers that are refused together and would come back together: the times are spread
 * around the moment when places are expected. Stateless and thread-safe.
 */
public final class RetryAfter {
    private static final double LEAST_MILLIS = 40;
    private static final double MOST_MILLIS = 1_500;
    private static final double SPREAD = 0.8;

    private RetryAfter() {}

    /**
     * Chooses a time.
     *
     * @param expectedMillis when a place is expected
     * @param random spreads the times
     * @return the time to wait
     */
    public static Duration after(final double expectedMillis, final RandomGenerator random) {
        final double base = Math.min(MOST_MILLIS, Math.max(LEAST_MILLIS, expectedMillis));
        return Duration.ofMillis(Math.round(base * (1 + SPREAD * random.nextDouble())));
    }
}
