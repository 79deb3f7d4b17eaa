package org.balsambank.core.target;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.TrafficClass;

/**
 * Limits the loads of adapters over all VMs together, as the weight store asks.
 *
 * <p>Confined to the decision loop.
 */
public interface LoadSlots {
    /**
     * Waits until a load may start.
     *
     * @param trafficClass the most urgent class that waits for the load
     * @return the slot; a disposed subscription leaves the queue; never fails
     */
    Single<LoadSlot> acquire(TrafficClass trafficClass);
}
