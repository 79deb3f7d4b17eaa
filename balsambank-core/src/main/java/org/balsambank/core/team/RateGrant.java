package org.balsambank.core.team;

/**
 * Units that were taken from a team's rate for one request.
 *
 * <p>Confined to the decision loop. The first settlement counts; later calls have no effect.
 */
public interface RateGrant {
    /**
     * Returns the units that the request did not use.
     *
     * @param used the number of units used, at most the units granted
     */
    void settle(double used);
}
