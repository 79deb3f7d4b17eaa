package org.balsambank.standin.load;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;

/**
 * A token bucket that decides, independently of the system under test, which requests of a team are within its rate.
 * One bucket covers the whole fleet.
 *
 * <p>Invariant: the level is between 0 and the burst. Confined to one thread; times must not decrease.
 */
public final class ReferenceTokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final RateLimit limit;

    private double level;
    private long lastNanos;

    /**
     * Creates a full bucket.
     *
     * @param limit the rate and burst of the team
     * @param startNanos the current time
     */
    public ReferenceTokenBucket(final RateLimit limit, final long startNanos) {
        this.limit = limit;
        this.level = limit.burst();
        this.lastNanos = startNanos;
    }

    /**
     * Consumes the cost of a request at the time it is sent, if the level covers it.
     *
     * @param nowNanos the current time
     * @param tokens the cost of the request if the rate counts tokens
     * @return true if the request is within the rate
     */
    public boolean tryConsume(final long nowNanos, final int tokens) {
        level = Math.min(limit.burst(), level + limit.perSecond() * (nowNanos - lastNanos) / NANOS_PER_SECOND);
        lastNanos = nowNanos;
        final double cost = cost(tokens);
        if (level < cost) {
            return false;
        }
        level -= cost;
        return true;
    }

    private double cost(final int tokens) {
        return limit.unit() == RateUnit.TOKENS ? tokens : 1;
    }
}
