package org.balsambank.core.serving.admission;

import org.balsambank.core.catalogue.RateLimit;

/**
 * How far the units of a team in any window may exceed its rate and burst.
 *
 * <p>Immutable and thread-safe.
 *
 * @param overage the share of what the window allows
 * @param units the units besides
 */
public record RateSlack(double overage, double units) {
    private static final double USED = 0.5;

    /**
     * Widens a limit by a part of the slack; the rest is for what becomes known late.
     *
     * @param limit the limit that the team bought
     * @return the limit to admit by
     */
    RateLimit widen(final RateLimit limit) {
        final double factor = 1 + USED * overage;
        return new RateLimit(limit.unit(), limit.perSecond() * factor, limit.burst() * factor + USED * units);
    }
}
