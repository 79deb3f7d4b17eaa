package org.balsambank.core.serving.admission;

import org.balsambank.core.catalogue.RateLimit;

/**
 * A token bucket whose level may fall below zero, as what others have taken becomes known late.
 *
 * <p>Confined to one thread. Invariant: the level is at most the burst.
 */
final class DebtBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private RateLimit limit;
    private double level;
    private long filledNanos;

    /**
     * Creates a bucket.
     *
     * @param limit the rate and burst
     * @param level the units in it
     * @param nowNanos the monotonic time
     */
    DebtBucket(final RateLimit limit, final double level, final long nowNanos) {
        this.limit = limit;
        this.level = level;
        this.filledNanos = nowNanos;
    }

    /**
     * Fills the bucket at a share of its rate.
     *
     * @param share the share, from 0 to 1
     * @param nowNanos the monotonic time
     */
    void fill(final double share, final long nowNanos) {
        final double added = limit.perSecond() * share * (nowNanos - filledNanos) / NANOS_PER_SECOND;
        level = Math.min(limit.burst() * share, level + Math.max(0, added));
        filledNanos = nowNanos;
    }

    /**
     * Replaces the rate and burst from now on.
     *
     * @param newLimit the limit
     */
    void replaceLimit(final RateLimit newLimit) {
        limit = newLimit;
        level = Math.min(level, newLimit.burst());
    }

    /**
     * Takes units, also if there are none.
     *
     * @param units the units, below zero to give back
     */
    void take(final double units) {
        level = Math.min(limit.burst(), level - units);
    }

    /**
     * Returns the units in the bucket.
     *
     * @return the units, below zero while it is in debt
     */
    double level() {
        return level;
    }

    /**
     * Returns the rate and burst.
     *
     * @return the limit
     */
    RateLimit limit() {
        return limit;
    }
}
