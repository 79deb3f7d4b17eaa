package org.balsambank.core.serving.placement;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.serving.target.TargetAnnouncement;

/** Sends orders to targets and reads their status reports. Results are delivered on the decision loop. */
public interface TargetOrderClient {
    /**
     * Sends an order.
     *
     * @param target the target; after a restart it does not accept the order
     * @param order the order
     * @return the result; never fails
     */
    Single<OrderResult> send(TargetAnnouncement target, Order order);

    /**
     * Reads the status report of a target.
     *
     * @param target the target
     * @return the report; fails if none arrived
     */
    Single<TargetStatus> readStatus(TargetAnnouncement target);
}
