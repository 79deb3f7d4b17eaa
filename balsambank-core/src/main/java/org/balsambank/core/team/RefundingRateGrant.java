package org.balsambank.core.team;

import java.util.function.DoubleConsumer;

/**
 * A grant that returns its unused units on the first settlement and ignores later ones.
 *
 * <p>Confined to the decision loop.
 */
final class RefundingRateGrant implements RateGrant {
    private final double granted;
    private final DoubleConsumer refund;
    private boolean settled;

    /**
     * Creates a grant.
     *
     * @param granted the number of units granted
     * @param refund called with the number of unused units, if there are any
     */
    RefundingRateGrant(final double granted, final DoubleConsumer refund) {
        this.granted = granted;
        this.refund = refund;
    }

    @Override
    public void settle(final double used) {
        if (settled) {
            return;
        }
        settled = true;
        final double unused = granted - Math.max(0, used);
        if (unused > 0) {
            refund.accept(unused);
        }
    }
}
