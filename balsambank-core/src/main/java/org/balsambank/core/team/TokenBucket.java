package org.balsambank.core.team;

import java.time.Duration;

import org.balsambank.core.catalogue.RateLimit;

/**
 * A token bucket.
 *
 * <p>Confined to one thread. Invariant: the level is at least zero and at most the burst; over any window of t seconds
 * at most rate x t + burst units are taken.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private RateLimit limit;
    private double level;
    private long filledNanos;

    /**
     * Creates a bucket.
     *
     * @param limit the rate and burst
     * @param level the initial number of units, capped at the burst
     * @param nowNanos the current monotonic time
     */
    public TokenBucket(final RateLimit limit, final double level, final long nowNanos) {
        this.limit = limit;
        this.level = Math.min(level, limit.burst());
        this.filledNanos = nowNanos;
    }

    /**
     * Returns the rate and burst that the bucket enforces.
     *
     * @return the limit
     */
    public RateLimit limit() {
        return limit;
    }

    /**
     * Replaces the rate and burst from now on.
     *
     * @param newLimit the limit
     * @param nowNanos the current monotonic time
     */
    public void replaceLimit(final RateLimit newLimit, final long nowNanos) {
        fill(nowNanos);
        limit = newLimit;
        level = Math.min(level, newLimit.burst());
    }

    /**
     * Returns the units that are available.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    public double level(final long nowNanos) {
        fill(nowNanos);
        return level;
    }

    /**
     * Takes the units if the level covers all of them.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     * @return true if they were taken
     */
    public boolean take(final double units, final long nowNanos) {
        fill(nowNanos);
        if (level < units) {
            return false;
        }
        level -= units;
        return true;
    }

    /**
     * Takes as many units as are available, up to a maximum.
     *
     * @param units the maximum number of units to take
     * @param nowNanos the current monotonic time
     * @return the number of units taken
     */
    public double takeUpTo(final double units, final long nowNanos) {
        fill(nowNanos);
        final double taken = Math.max(0, Math.min(level, units));
        level -= taken;
        return taken;
    }

    /**
     * Returns units that were taken and not used to the bucket, up to the burst.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     */
    public void refund(final double units, final long nowNanos) {
        fill(nowNanos);
        level = Math.min(limit.burst(), level + units);
    }

    /**
     * Returns the time until the units are available if none are taken before.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     * @return the delay, zero if they are available
     */
    public Duration delayUntil(final double units, final long nowNanos) {
        fill(nowNanos);
        return RetryDelay.of(units - level, limit.perSecond());
    }

    private void fill(final long nowNanos) {
        final double seconds = (nowNanos - filledNanos) / NANOS_PER_SECOND;
        filledNanos = nowNanos;
        level = Math.min(limit.burst(), level + seconds * limit.perSecond());
    }
}
