package org.balsambank.core.team;

/**
 * The share of a team's rate that this VM has borrowed.
 *
 * <p>Confined to the decision loop. Invariant: the level is between zero and the capacity. The standby rate refills the
 * level only from the time at which it takes effect until the share expires. An expired share has no units, rate or
 * capacity.
 */
final class BorrowedShare {
    private static final double NANOS_PER_SECOND = 1e9;

    private long number;
    private double rate;
    private double capacity;
    private double surgeCapacity;
    private long surgeEndNanos = Long.MIN_VALUE;
    private double level;
    private double returned;
    private long standbyNanos;
    private long endNanos = Long.MIN_VALUE;
    private long filledNanos;

    /**
     * Takes the units if the level covers all of them.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     * @return true if they were taken
     */
    boolean take(final double units, final long nowNanos) {
        refresh(nowNanos);
        if (level < units) {
            return false;
        }
        level -= units;
        return true;
    }

    /**
     * Returns units that a request did not use to the level, up to the capacity.
     *
     * @param units the number of units
     * @param nowNanos the current monotonic time
     */
    void refund(final double units, final long nowNanos) {
        refresh(nowNanos);
        level = Math.min(capacityNow(nowNanos), level + units);
    }

    /**
     * Replaces the share with a new grant. Units above the new capacity are removed and reported as returned.
     *
     * @param grant the new share
     * @param sentNanos the monotonic time just before the report was sent, from which the share's lifetime counts
     * @param nowNanos the current monotonic time
     */
    void replace(final ShareGrant grant, final long sentNanos, final long nowNanos) {
        refresh(nowNanos);
        number = grant.number();
        rate = grant.rate();
        capacity = grant.capacity();
        surgeCapacity = grant.surgeCapacity();
        surgeEndNanos = sentNanos + grant.surgeLifetime().toNanos();
        standbyNanos = nowNanos + grant.standbyAfter().toNanos();
        endNanos = sentNanos + grant.lifetime().toNanos();
        level += grant.units();
        refresh(nowNanos);
    }

    /** Empties the share; its units are reported as returned. */
    void clear() {
        returned += level;
        level = 0;
        rate = 0;
        capacity = 0;
        surgeCapacity = 0;
    }

    /**
     * Returns the units removed from the share since the last call, and resets the count.
     *
     * @return the number of units to report as returned
     */
    double takeReturned() {
        final double units = returned;
        returned = 0;
        return units;
    }

    /**
     * Returns the number of the report that this share was granted for.
     *
     * @return the number, 0 if no share was granted yet
     */
    long number() {
        return number;
    }

    /**
     * Returns the standby rate.
     *
     * @param nowNanos the current monotonic time
     * @return the rate in units per second
     */
    double rate(final long nowNanos) {
        refresh(nowNanos);
        return rate;
    }

    /**
     * Returns the maximum level, including a surge capacity that has not expired.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    double capacity(final long nowNanos) {
        refresh(nowNanos);
        return capacityNow(nowNanos);
    }

    /**
     * Returns the maximum level without the surge capacity.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    double baseCapacity(final long nowNanos) {
        refresh(nowNanos);
        return capacity;
    }

    /**
     * Returns the units that are available.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    double level(final long nowNanos) {
        refresh(nowNanos);
        return level;
    }

    /**
     * Returns whether the standby rate refills the level.
     *
     * @param nowNanos the current monotonic time
     * @return true from the time at which the standby rate takes effect until the share expires
     */
    boolean standbyActive(final long nowNanos) {
        return nowNanos >= standbyNanos && nowNanos < endNanos && rate > 0;
    }

    private void refresh(final long nowNanos) {
        if (nowNanos >= endNanos) {
            level = 0;
            rate = 0;
            capacity = 0;
            surgeCapacity = 0;
        } else if (nowNanos > standbyNanos) {
            final long from = Math.max(filledNanos, standbyNanos);
            level += rate * (nowNanos - from) / NANOS_PER_SECOND;
        }
        filledNanos = nowNanos;
        removeExcess(nowNanos);
    }

    private void removeExcess(final long nowNanos) {
        final double max = capacityNow(nowNanos);
        if (level > max) {
            returned += nowNanos > standbyNanos ? 0 : level - max;
            level = max;
        }
    }

    private double capacityNow(final long nowNanos) {
        return nowNanos < surgeEndNanos ? Math.max(capacity, surgeCapacity) : capacity;
    }
}
