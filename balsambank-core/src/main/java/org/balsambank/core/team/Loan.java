package org.balsambank.core.team;

import org.balsambank.protocol.generated.team.LoanState;

/**
 * What one borrower may hold: the share that it has shown, or the one that was sent last.
 *
 * <p>Confined to the decision loop. Until an ask shows which of the two it holds, the larger one counts.
 */
final class Loan {
    private LentShare shown = LentShare.NONE;
    private LentShare sent = LentShare.NONE;
    private long lastNumber;
    private double demand;

    /**
     * Takes over the account of an earlier owner.
     *
     * @param state the account
     * @param nowNanos the monotonic time
     * @return the loan
     */
    static Loan of(final LoanState state, final long nowNanos) {
        final Loan loan = new Loan();
        loan.shown = LentShare.of(state.getShown(), nowNanos);
        loan.sent = LentShare.of(state.getSent(), nowNanos);
        loan.lastNumber = state.getLastNumber();
        loan.demand = state.getDemand();
        return loan;
    }

    /**
     * Says what the borrower may hold.
     *
     * @param borrower the borrower
     * @param nowNanos the monotonic time
     * @return the account for the next owner
     */
    LoanState state(final BorrowerId borrower, final long nowNanos) {
        return LoanState.newBuilder()
                .setVm(borrower.vm().value())
                .setBoot(borrower.boot())
                .setLastNumber(lastNumber)
                .setDemand(demand)
                .setShown(shown.state(nowNanos))
                .setSent(sent.state(nowNanos))
                .build();
    }

    /**
     * Records a share that the borrower had from an earlier owner.
     *
     * @param holding the share
     */
    void register(final LentShare holding) {
        shown = holding;
    }

    /**
     * Records an ask, which shows what the borrower holds.
     *
     * @param report the report of the ask
     */
    void show(final ShareReport report) {
        final LentShare held = report.appliedNumber() == sent.number() ? sent : shown;
        shown = held.reducedTo(report.rate(), report.capacity(), report.surgeCapacity());
        sent = LentShare.NONE;
        lastNumber = report.number();
        demand = report.demand();
    }

    /**
     * Records a share that is about to be sent.
     *
     * @param holding the share
     */
    void send(final LentShare holding) {
        sent = holding;
    }

    /**
     * Returns the number of the last ask.
     *
     * @return the number
     */
    long lastNumber() {
        return lastNumber;
    }

    /**
     * Returns the demand that the borrower reported last.
     *
     * @return units a second
     */
    double demand() {
        return demand;
    }

    /**
     * Returns the standby rate that the borrower holds now or later.
     *
     * @param nowNanos the monotonic time
     * @return units a second
     */
    double rate(final long nowNanos) {
        return Math.max(shown.live(nowNanos) ? shown.rate() : 0, sent.live(nowNanos) ? sent.rate() : 0);
    }

    /**
     * Returns the standby rate that may fill the borrower's level.
     *
     * @param nowNanos the monotonic time
     * @return units a second
     */
    double fillingRate(final long nowNanos) {
        return Math.max(shown.filling(nowNanos) ? shown.rate() : 0, sent.filling(nowNanos) ? sent.rate() : 0);
    }

    /**
     * Returns the most units that the borrower may hold.
     *
     * @param nowNanos the monotonic time
     * @return the units
     */
    double capacity(final long nowNanos) {
        return Math.max(shown.capacity(nowNanos), sent.capacity(nowNanos));
    }

    /**
     * Returns the most units that the borrower may hold once no surge is under way.
     *
     * @param nowNanos the monotonic time
     * @return the units
     */
    double standingCapacity(final long nowNanos) {
        return Math.max(shown.live(nowNanos) ? shown.capacity() : 0, sent.live(nowNanos) ? sent.capacity() : 0);
    }

    /**
     * Returns the next time at which what counts changes.
     *
     * @param afterNanos the monotonic time after which to look
     * @return the monotonic time, or the maximum if nothing changes
     */
    long nextChangeNanos(final long afterNanos) {
        return Math.min(shown.nextChangeNanos(afterNanos), sent.nextChangeNanos(afterNanos));
    }

    /**
     * Tells whether the borrower may hold anything.
     *
     * @param nowNanos the monotonic time
     * @return true if nothing more counts
     */
    boolean over(final long nowNanos) {
        return !shown.live(nowNanos) && !sent.live(nowNanos);
    }
}
