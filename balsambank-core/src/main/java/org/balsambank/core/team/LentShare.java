package org.balsambank.core.team;

import org.balsambank.protocol.generated.team.HoldingState;

/**
 * A share that a borrower holds or may hold, as its owner counts it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the ask whose answer gave it
 * @param rate the standby rate in units a second
 * @param capacity the most units that the borrower may hold
 * @param surgeCapacity the most units that it may hold before the surge ends
 * @param surgeEndNanos the monotonic time at which the surge has surely ended
 * @param standbyNanos the monotonic time from which the standby rate counts
 * @param endNanos the monotonic time at which it has surely ended
 */
record LentShare(
        long number,
        double rate,
        double capacity,
        double surgeCapacity,
        long surgeEndNanos,
        long standbyNanos,
        long endNanos) {
    /** Holds nothing. */
    static final LentShare NONE = new LentShare(0, 0, 0, 0, Long.MIN_VALUE, 0, Long.MIN_VALUE);

    /**
     * Takes over what an earlier owner counted. The standby rate counts at once, since the time that the state was
     * under way is not known.
     *
     * @param state what was left of it
     * @param nowNanos the monotonic time
     * @return the holding
     */
    static LentShare of(final HoldingState state, final long nowNanos) {
        if (state.getLeft() == 0) {
            return new LentShare(state.getNumber(), 0, 0, 0, Long.MIN_VALUE, 0, Long.MIN_VALUE);
        }
        return new LentShare(
                state.getNumber(),
                state.getRate(),
                state.getCapacity(),
                state.getSurgeCapacity(),
                nowNanos + state.getSurgeLeft(),
                nowNanos,
                nowNanos + state.getLeft());
    }

    /**
     * Says what is left of it.
     *
     * @param nowNanos the monotonic time
     * @return the state
     */
    HoldingState state(final long nowNanos) {
        return HoldingState.newBuilder()
                .setNumber(number)
                .setRate(rate)
                .setCapacity(capacity)
                .setSurgeCapacity(surgeCapacity)
                .setSurgeLeft(surgeEndNanos > nowNanos ? surgeEndNanos - nowNanos : 0)
                .setLeft(endNanos > nowNanos ? endNanos - nowNanos : 0)
                .build();
    }

    /**
     * Tells whether the borrower may still hold it.
     *
     * @param nowNanos the monotonic time
     * @return true before the end
     */
    boolean live(final long nowNanos) {
        return nowNanos < endNanos;
    }

    /**
     * Tells whether the standby rate may fill the borrower's level.
     *
     * @param nowNanos the monotonic time
     * @return true between the begin of the standby rate and the end
     */
    boolean filling(final long nowNanos) {
        return live(nowNanos) && nowNanos >= standbyNanos;
    }

    /**
     * Returns the most units that the borrower may hold.
     *
     * @param nowNanos the monotonic time
     * @return the units
     */
    double capacity(final long nowNanos) {
        if (!live(nowNanos)) {
            return 0;
        }
        return nowNanos < surgeEndNanos ? Math.max(capacity, surgeCapacity) : capacity;
    }

    /**
     * Returns the next time at which what counts changes.
     *
     * @param afterNanos the monotonic time after which to look
     * @return the monotonic time, or the maximum if nothing changes
     */
    long nextChangeNanos(final long afterNanos) {
        long next = endNanos > afterNanos ? endNanos : Long.MAX_VALUE;
        if (standbyNanos > afterNanos) {
            next = Math.min(next, standbyNanos);
        }
        return surgeEndNanos > afterNanos ? Math.min(next, surgeEndNanos) : next;
    }

    /**
     * Takes over what the borrower says that it has kept.
     *
     * @param keptRate the standby rate
     * @param keptCapacity the capacity
     * @param keptSurge the capacity while the surge lasts
     * @return the holding, never more than before
     */
    LentShare reducedTo(final double keptRate, final double keptCapacity, final double keptSurge) {
        return new LentShare(
                number,
                Math.min(rate, keptRate),
                Math.min(capacity, keptCapacity),
                Math.min(Math.max(capacity, surgeCapacity), keptSurge),
                surgeEndNanos,
                standbyNanos,
                endNanos);
    }
}
