package org.balsambank.core.team;

import java.util.function.DoubleConsumer;

/**
 * A grant that hands back unused units once.
 *
 * <p>Confined to the decision loop.
 */
final class RefundingRateGrant implements RateGrant {
    private final double granted;
    private final DoubleConsumer giveBack;
    private boolean settled;

    /**
     * Creates a grant.
     *
     * @param granted the units granted
     * @param giveBack takes the units that were not used
     */
    RefundingRateGrant(final double granted, final DoubleConsumer giveBack) {
        this.granted = granted;
        this.giveBack = giveBack;
    }

    @Override
    public void settle(final double used) {
        if (settled) {
            return;
        }
        settled = true;
        final double rest = granted - Math.max(0, used);
        if (rest > 0) {
            giveBack.accept(rest);
        }
    }
}
