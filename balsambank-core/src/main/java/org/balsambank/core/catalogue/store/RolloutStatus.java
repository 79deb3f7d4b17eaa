package org.balsambank.core.catalogue.store;

/**
 * The number of VMs on which a revision is in force.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the number of VMs that have the revision or a later one
 * @param total the number of all VMs
 */
public record RolloutStatus(int count, int total) {
    /**
     * Returns whether the revision is in force on all VMs.
     *
     * @return true if all VMs have it
     */
    public boolean complete() {
        return count == total;
    }

    @Override
    public String toString() {
        return "in force on " + count + " of " + total + " VMs";
    }
}
