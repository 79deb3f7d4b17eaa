package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.Optional;

import org.balsambank.core.id.LeaseId;

/** A read-only view of the lease of this VM. Confined to the decision loop. */
public interface LeaseView {
    /**
     * Returns the lease.
     *
     * @return the lease, if this VM is registered
     */
    Optional<LeaseId> current();

    /**
     * Returns whether the lease is valid at this moment.
     *
     * @return false once it may have expired, and after time that the clock did not count
     */
    boolean valid();

    /**
     * Returns how long the lease remains valid without a renewal, as long as no new era of the key-value service ends
     * it.
     *
     * @return the time, zero if it has expired or the clock has not counted some time
     */
    Duration remaining();
}
