package org.balsambank.core.catalogue;

/**
 * The rate and burst purchased by a team. In any window of t seconds the team may use at most rate x t + burst units.
 *
 * <p>Immutable and thread-safe. Both numbers are finite and not negative.
 *
 * @param unit the unit that is counted
 * @param perSecond the rate in units per second
 * @param burst the burst in units
 */
public record RateLimit(RateUnit unit, double perSecond, double burst) {
    /**
     * Validates the rate and burst.
     *
     * @throws IllegalArgumentException if a number is negative or not finite
     */
    public RateLimit {
        if (!(perSecond >= 0 && burst >= 0 && Double.isFinite(perSecond) && Double.isFinite(burst))) {
            throw new IllegalArgumentException(
                    "rate and burst must be finite and not negative: rate " + perSecond + ", burst " + burst);
        }
    }
}
