package org.balsambank.core.serving.placement;

import java.util.Optional;

import org.balsambank.core.id.LeaseId;

/** The lease of this VM. Confined to the decision loop. */
public interface LeaseView {
    /**
     * Returns the lease.
     *
     * @return the lease, if this VM is registered
     */
    Optional<LeaseId> current();

    /**
     * Tells whether the lease lasts at this instant.
     *
     * @return false once it may have ended, and after time that the clock did not count
     */
    boolean valid();
}
