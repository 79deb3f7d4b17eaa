package org.balsambank.core.team;

import org.balsambank.protocol.generated.team.HoldingState;

/**
 * A share that a borrower may hold, as accounted by the owner of the team's rate.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the report that it was granted for
 * @param rate the standby rate in units per second
 * @param capacity the maximum number of units that the borrower may hold
 * @param surgeCapacity the maximum number of units that it may hold until the surge ends
 * @param surgeEndNanos the monotonic time at which the surge has ended on the borrower, clock drift included
 * @param standbyNanos the monotonic time from which the standby rate is accounted
 * @param endNanos the monotonic time at which the share has expired on the borrower, clock drift included
 */
record LentShare(
        long number,
        double rate,
        double capacity,
        double surgeCapacity,
        long surgeEndNanos,
        long standbyNanos,
        long endNanos) {
    /** A share without rate and capacity that has expired. */
    static final LentShare NONE = new LentShare(0, 0, 0, 0, Long.MIN_VALUE, 0, Long.MIN_VALUE);

    /**
     * Restores a share from the state that an earlier owner exported. The standby rate is accounted from now on,
     * because the time that the state spent in transit is not known.
     *
     * @param state the exported state
     * @param nowNanos the current monotonic time
     * @return the share
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
     * Exports the share for the next owner, with the remaining times instead of monotonic times.
     *
     * @param nowNanos the current monotonic time
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
     * Returns whether the share has not expired.
     *
     * @param nowNanos the current monotonic time
     * @return true if the borrower may still use it
     */
    boolean live(final long nowNanos) {
        return nowNanos < endNanos;
    }

    /**
     * Returns whether the standby rate may be refilling the borrower's level.
     *
     * @param nowNanos the current monotonic time
     * @return true from the time at which the standby rate is accounted until the share expires
     */
    boolean refilling(final long nowNanos) {
        return live(nowNanos) && nowNanos >= standbyNanos;
    }

    /**
     * Returns the maximum number of units that the borrower may hold, including a surge that has not ended.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    double capacity(final long nowNanos) {
        if (!live(nowNanos)) {
            return 0;
        }
        return nowNanos < surgeEndNanos ? Math.max(capacity, surgeCapacity) : capacity;
    }

    /**
     * Returns the next time at which the accounted rate or capacity changes.
     *
     * @param afterNanos the monotonic time that the change comes after
     * @return the monotonic time, or {@code Long.MAX_VALUE} if nothing changes any more
     */
    long nextChangeNanos(final long afterNanos) {
        long next = endNanos > afterNanos ? endNanos : Long.MAX_VALUE;
        if (standbyNanos > afterNanos) {
            next = Math.min(next, standbyNanos);
        }
        return surgeEndNanos > afterNanos ? Math.min(next, surgeEndNanos) : next;
    }

    /**
     * Reduces the share to what the borrower reports to hold.
     *
     * @param heldRate the standby rate
     * @param heldCapacity the capacity
     * @param heldSurgeCapacity the capacity until the surge ends
     * @return the share, with no value larger than before
     */
    LentShare reducedTo(final double heldRate, final double heldCapacity, final double heldSurgeCapacity) {
        return new LentShare(
                number,
                Math.min(rate, heldRate),
                Math.min(capacity, heldCapacity),
                Math.min(Math.max(capacity, surgeCapacity), heldSurgeCapacity),
                surgeEndNanos,
                standbyNanos,
                endNanos);
    }
}
