package org.balsambank.core.catalogue.store;

/**
 * On how many VMs a revision is in force.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the VMs that hold it or a later one
 * @param total all VMs
 */
public record RolloutStatus(int count, int total) {
    /**
     * Tells whether the revision is in force everywhere.
     *
     * @return true if all VMs hold it
     */
    public boolean complete() {
        return count == total;
    }

    @Override
    public String toString() {
        return "in force on " + count + " of " + total + " VMs";
    }
}
