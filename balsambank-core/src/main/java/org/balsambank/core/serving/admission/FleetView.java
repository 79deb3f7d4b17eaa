package org.balsambank.core.serving.admission;

import org.balsambank.core.id.TargetId;

/** The size of the fleet as known to this VM, to divide shared limits. Confined to the decision loop. */
public interface FleetView {
    /**
     * Returns the number of VMs that may use a limit concurrently.
     *
     * @return the number of registered VMs including this one, at least 1
     */
    int vms();

    /**
     * Returns the number of VMs whose usage this VM knows.
     *
     * @return the number of VMs with recent reports including this one, at least 1
     */
    int reachableVms();

    /**
     * Returns the rank of this VM in the order of all VMs for a target.
     *
     * @param target the target
     * @return the rank; 0 is the highest
     */
    int rank(TargetId target);
}
