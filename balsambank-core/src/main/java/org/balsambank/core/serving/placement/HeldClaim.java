package org.balsambank.core.serving.placement;

import org.balsambank.core.id.VmId;

/** A claim of this VM on one subject, which allows it to act on it. Confined to the decision loop. */
public interface HeldClaim {
    /**
     * Returns whether the claim is valid at this moment.
     *
     * @return false once the lease under which it was written may have expired
     */
    boolean valid();

    /**
     * Returns the fencing number.
     *
     * @return a number that increases from one holder to the next
     */
    long fence();

    /**
     * Returns this VM.
     *
     * @return the VM
     */
    VmId holder();

    /** Gives up the claim permanently, as another VM has a newer one. */
    void markLost();
}
