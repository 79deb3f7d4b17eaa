package org.balsambank.core.serving.admission;

import org.balsambank.core.id.TargetId;

/** Tells how many VMs share the limits of the fleet. Confined to the decision loop. */
public interface FleetView {
    /**
     * Returns the number of VMs that may use a limit at the same time.
     *
     * @return this VM and all others that are registered, at least 1
     */
    int vms();

    /**
     * Returns the number of VMs whose use this VM knows.
     *
     * @return this VM and all others that it has heard of lately, at least 1
     */
    int reachableVms();

    /**
     * Returns the place of this VM in the order that all VMs have for a target.
     *
     * @param target the target
     * @return the place, 0 first
     */
    int rank(TargetId target);
}
