package org.balsambank.core.serving.admission;

import org.balsambank.core.catalogue.RateLimit;

/**
 * A token bucket whose level may become negative, as the units taken by other VMs become known late.
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
     * @param level the initial level in units
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    DebtBucket(final RateLimit limit, final double level, final long nowNanos) {
        this.limit = limit;
        this.level = level;
        this.filledNanos = nowNanos;
    }

    /**
     * Refills the bucket at a share of its rate, up to the same share of its burst.
     *
     * @param share the share, from 0 to 1
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    void fill(final double share, final long nowNanos) {
        final double added = limit.perSecond() * share * (nowNanos - filledNanos) / NANOS_PER_SECOND;
        level = Math.min(limit.burst() * share, level + Math.max(0, added));
        filledNanos = nowNanos;
    }

    /**
     * Replaces the rate and burst.
     *
     * @param newLimit the limit
     */
    void replaceLimit(final RateLimit newLimit) {
        limit = newLimit;
        level = Math.min(level, newLimit.burst());
    }

    /**
     * Takes units, even if the level becomes negative.
     *
     * @param units the units, negative to return them
     */
    void take(final double units) {
        level = Math.min(limit.burst(), level - units);
    }

    /**
     * Returns the level in units.
     *
     * @return the level, negative while the bucket is in debt
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
