package org.balsambank.core.team;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.TeamId;

/**
 * Admits requests within the rate and burst of their team across all VMs.
 *
 * <p>Confined to the decision loop.
 */
public interface RateGate {
    /**
     * Takes units from a team's rate; waits briefly if the units can be available soon.
     *
     * @param team the team
     * @param units the maximum number of units that the request may use
     * @return the grant; fails with {@code RATE_EXCEEDED} and the delay after which units are available
     */
    Single<RateGrant> admit(TeamId team, double units);
}
