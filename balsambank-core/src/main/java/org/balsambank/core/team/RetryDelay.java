package org.balsambank.core.team;

import java.time.Duration;

/**
 * Computes how long a caller waits before it retries.
 *
 * <p>Stateless and thread-safe. The delay is between zero and a day.
 */
final class RetryDelay {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MAX_SECONDS = Duration.ofDays(1).toSeconds();

    private RetryDelay() {}

    /**
     * Computes the delay until missing units are available.
     *
     * @param missing the number of missing units
     * @param perSecond the rate in units per second
     * @return the delay
     */
    static Duration of(final double missing, final double perSecond) {
        if (missing <= 0) {
            return Duration.ZERO;
        }
        final double seconds = perSecond > 0 ? Math.min(MAX_SECONDS, missing / perSecond) : MAX_SECONDS;
        return Duration.ofNanos((long) Math.ceil(seconds * NANOS_PER_SECOND));
    }
}
