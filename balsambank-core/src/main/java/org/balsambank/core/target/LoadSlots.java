package org.balsambank.core.target;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.TrafficClass;

/**
 * Limits the adapter loads across all VMs to what the store of the adapter weights can serve.
 *
 * <p>Confined to the decision loop.
 */
public interface LoadSlots {
    /**
     * Waits until a load may start.
     *
     * @param trafficClass the most urgent traffic class among the requests that need the load
     * @return the slot; disposing the subscription cancels the wait; never fails
     */
    Single<LoadSlot> acquire(TrafficClass trafficClass);
}
