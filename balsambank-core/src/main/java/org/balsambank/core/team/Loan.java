package org.balsambank.core.team;

import org.balsambank.protocol.generated.team.LoanState;

/**
 * The shares that one borrower may hold: the one that its last report confirms, or the one that was sent since.
 *
 * <p>Confined to the decision loop. Until a report shows which of the two the borrower holds, the larger value of each
 * is accounted.
 */
final class Loan {
    private LentShare confirmed = LentShare.NONE;
    private LentShare sent = LentShare.NONE;
    private long lastNumber;
    private double demand;

    /**
     * Restores a loan from the state that an earlier owner exported.
     *
     * @param state the exported state
     * @param nowNanos the current monotonic time
     * @return the loan
     */
    static Loan of(final LoanState state, final long nowNanos) {
        final Loan loan = new Loan();
        loan.confirmed = LentShare.of(state.getShown(), nowNanos);
        loan.sent = LentShare.of(state.getSent(), nowNanos);
        loan.lastNumber = state.getLastNumber();
        loan.demand = state.getDemand();
        return loan;
    }

    /**
     * Exports the loan for the next owner.
     *
     * @param borrower the borrower
     * @param nowNanos the current monotonic time
     * @return the state
     */
    LoanState state(final BorrowerId borrower, final long nowNanos) {
        return LoanState.newBuilder()
                .setVm(borrower.vm().value())
                .setBoot(borrower.boot())
                .setLastNumber(lastNumber)
                .setDemand(demand)
                .setShown(confirmed.state(nowNanos))
                .setSent(sent.state(nowNanos))
                .build();
    }

    /**
     * Records a share that an earlier owner granted to the borrower.
     *
     * @param share the share
     */
    void recordEarlierShare(final LentShare share) {
        confirmed = share;
    }

    /**
     * Records a report, which confirms the share that the borrower holds.
     *
     * @param report the report
     */
    void applyReport(final ShareReport report) {
        final LentShare held = report.appliedNumber() == sent.number() ? sent : confirmed;
        confirmed = held.reducedTo(report.rate(), report.capacity(), report.surgeCapacity());
        sent = LentShare.NONE;
        lastNumber = report.number();
        demand = report.demand();
    }

    /**
     * Records a share that is about to be sent.
     *
     * @param share the share
     */
    void recordGrant(final LentShare share) {
        sent = share;
    }

    /**
     * Returns the number of the last report.
     *
     * @return the number
     */
    long lastNumber() {
        return lastNumber;
    }

    /**
     * Returns the demand in the last report.
     *
     * @return the rate in units per second
     */
    double demand() {
        return demand;
    }

    /**
     * Returns the standby rate that the borrower may hold, whether it has taken effect or not.
     *
     * @param nowNanos the current monotonic time
     * @return the rate in units per second
     */
    double rate(final long nowNanos) {
        return Math.max(confirmed.live(nowNanos) ? confirmed.rate() : 0, sent.live(nowNanos) ? sent.rate() : 0);
    }

    /**
     * Returns the standby rate that may be refilling the borrower's level.
     *
     * @param nowNanos the current monotonic time
     * @return the rate in units per second
     */
    double refillRate(final long nowNanos) {
        return Math.max(
                confirmed.refilling(nowNanos) ? confirmed.rate() : 0, sent.refilling(nowNanos) ? sent.rate() : 0);
    }

    /**
     * Returns the maximum number of units that the borrower may hold, including a surge that has not ended.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    double capacity(final long nowNanos) {
        return Math.max(confirmed.capacity(nowNanos), sent.capacity(nowNanos));
    }

    /**
     * Returns the maximum number of units that the borrower may hold, without the surge capacity.
     *
     * @param nowNanos the current monotonic time
     * @return the number of units
     */
    double baseCapacity(final long nowNanos) {
        return Math.max(confirmed.live(nowNanos) ? confirmed.capacity() : 0, sent.live(nowNanos) ? sent.capacity() : 0);
    }

    /**
     * Returns the next time at which the accounted rate or capacity changes.
     *
     * @param afterNanos the monotonic time that the change comes after
     * @return the monotonic time, or {@code Long.MAX_VALUE} if nothing changes any more
     */
    long nextChangeNanos(final long afterNanos) {
        return Math.min(confirmed.nextChangeNanos(afterNanos), sent.nextChangeNanos(afterNanos));
    }

    /**
     * Returns whether all shares of the borrower have expired.
     *
     * @param nowNanos the current monotonic time
     * @return true if the loan can be dropped from the account
     */
    boolean expired(final long nowNanos) {
        return !confirmed.live(nowNanos) && !sent.live(nowNanos);
    }
}
