package org.balsambank.core.team;

import org.balsambank.core.catalogue.RateLimit;

/**
 * An independent account of the units that an owner has lent, used only to assert the limit: over any window the units
 * lent are at most rate x time + burst.
 *
 * <p>Confined to the decision loop. It is one token bucket; each unit is taken from it when it is lent.
 */
final class LendingLedger {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double TOLERANCE = 1e-6;

    private RateLimit limit;
    private double level;
    private long filledNanos;

    /**
     * Creates a ledger.
     *
     * @param limit the rate and burst
     * @param level the units that are not lent
     * @param nowNanos the current monotonic time
     */
    LendingLedger(final RateLimit limit, final double level, final long nowNanos) {
        this.limit = limit;
        this.level = level;
        this.filledNanos = nowNanos;
    }

    /**
     * Replaces the rate and burst from now on.
     *
     * @param newLimit the limit
     * @param nowNanos the current monotonic time
     */
    void replaceLimit(final RateLimit newLimit, final long nowNanos) {
        refillLoans(0, nowNanos);
        limit = newLimit;
        level = Math.min(level, newLimit.burst());
    }

    /**
     * Records units that are sent to a borrower.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     */
    void lend(final double units, final long nowNanos) {
        refillLoans(0, nowNanos);
        level -= units;
    }

    /**
     * Records units that a borrower has returned unused.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     */
    void refund(final double units, final long nowNanos) {
        refillLoans(0, nowNanos);
        level = Math.min(limit.burst(), level + units);
    }

    /**
     * Records the units that standby rates added to loans since the last call.
     *
     * @param perSecond the sum of the standby rates in units per second
     * @param untilNanos the monotonic time up to which they are recorded
     */
    void refillLoans(final double perSecond, final long untilNanos) {
        final double seconds = (untilNanos - filledNanos) / NANOS_PER_SECOND;
        filledNanos = untilNanos;
        level = Math.min(limit.burst(), level + (limit.perSecond() - perSecond) * seconds);
    }

    /**
     * Returns whether the units lent are within the team's limit.
     *
     * @return true if the limit is not exceeded, up to a rounding tolerance
     */
    boolean withinLimit() {
        return level >= -TOLERANCE * (1 + limit.burst() + limit.perSecond());
    }

    @Override
    public String toString() {
        return level + " of " + limit;
    }
}
