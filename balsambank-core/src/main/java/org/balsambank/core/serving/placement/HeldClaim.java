package org.balsambank.core.serving.placement;

import org.balsambank.core.id.VmId;

/** The right of this VM to give orders to one target. Confined to the decision loop. */
public interface HeldClaim {
    /**
     * Tells whether the right holds at this instant.
     *
     * @return false once the lease behind it may have ended
     */
    boolean valid();

    /**
     * Returns the fencing number.
     *
     * @return a number that only rises from one holder to the next
     */
    long fence();

    /**
     * Returns this VM.
     *
     * @return the VM
     */
    VmId holder();

    /** Gives the right up for good, as another VM holds a newer one. */
    void lost();
}
