package org.balsambank.core.serving.admission;

/** Tells how many VMs share the limits of the fleet. Confined to the decision loop. */
public interface FleetShare {
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
    int heard();
}
