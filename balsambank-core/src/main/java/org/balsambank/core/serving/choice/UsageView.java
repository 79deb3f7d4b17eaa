package org.balsambank.core.serving.choice;

import java.util.Set;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.target.InFlightRequests;

/**
 * The requests in flight at targets on which a choice is based.
 *
 * <p>Confined to the decision loop.
 */
interface UsageView {
    /**
     * Returns the requests in flight at a target.
     *
     * @param target the target
     * @return the requests and pending prompt tokens
     */
    InFlightRequests.Usage total(TargetId target);

    /**
     * Returns the requests that are certainly in flight at a target.
     *
     * @param target the target
     * @return the number of requests
     */
    int certain(TargetId target);

    /**
     * Returns the adapters of requests that are certainly at a target or on their way.
     *
     * @param target the target
     * @return the adapters, which may not be resident yet
     */
    default Set<AdapterKey> adapters(final TargetId target) {
        return Set.of();
    }

    /**
     * Returns the view of a VM that hears of the requests of others in digests.
     *
     * @param inFlight the requests in flight
     * @return the view
     */
    static UsageView of(final InFlightRequests inFlight) {
        return new UsageView() {
            @Override
            public InFlightRequests.Usage total(final TargetId target) {
                return inFlight.total(target);
            }

            @Override
            public int certain(final TargetId target) {
                return inFlight.ownRequests(target);
            }
        };
    }
}
