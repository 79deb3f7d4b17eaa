package org.balsambank.core.target;

import java.util.OptionalDouble;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.TargetId;

/**
 * Admits requests to targets, on the VM that owns the target's partition.
 *
 * <p>Invariants: when a permit is granted, the permits in use of the target do not exceed its current limit; an adapter
 * with a permit in use is never evicted; a permit is granted only after the adapter is loaded. Confined to the decision
 * loop.
 */
public interface TargetGate {
    /**
     * Waits until a target may run a request.
     *
     * @param request the request to run
     * @return the permit; disposing the subscription removes the request from the queue; fails with a
     *     {@code BalsambankException} whose kind means that the request did not run
     */
    Single<TargetPermit> acquire(AdmissionRequest request);

    /**
     * Returns the load of a target, as a hint for the VMs that choose targets.
     *
     * @param target the target
     * @return the number of running or queued requests divided by the current permit limit; empty if this VM has no
     *     state for the target
     */
    default OptionalDouble load(final TargetId target) {
        return OptionalDouble.empty();
    }
}
