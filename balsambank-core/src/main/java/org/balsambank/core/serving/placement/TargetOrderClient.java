package org.balsambank.core.serving.placement;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.serving.target.TargetAnnouncement;

/** Gives orders to targets and reads their reports. Results arrive on the decision loop. */
public interface TargetOrderClient {
    /**
     * Gives an order.
     *
     * @param target the target; another start of it does not take the order
     * @param order the order
     * @return what it said; never fails
     */
    Single<OrderResult> send(TargetAnnouncement target, Order order);

    /**
     * Reads the report of a target.
     *
     * @param target the target
     * @return the report; fails if none came
     */
    Single<TargetStatus> readStatus(TargetAnnouncement target);
}
