package org.balsambank.core.serving.admission;

import org.balsambank.core.catalogue.RateLimit;

/**
 * The tolerance by which the units of a team in any time window may exceed its rate and burst.
 *
 * <p>Immutable and thread-safe.
 *
 * @param overage the tolerance as a share of the units that the window allows
 * @param units the tolerance in units, in addition to the share
 */
public record RateSlack(double overage, double units) {
    private static final double ENFORCED_SHARE = 0.5;

    /**
     * Raises a limit by a part of the tolerance; the rest covers usage that becomes known late.
     *
     * @param limit the limit of the team
     * @return the limit to enforce
     */
    RateLimit widen(final RateLimit limit) {
        final double factor = 1 + ENFORCED_SHARE * overage;
        return new RateLimit(limit.unit(), limit.perSecond() * factor, limit.burst() * factor + ENFORCED_SHARE * units);
    }
}
