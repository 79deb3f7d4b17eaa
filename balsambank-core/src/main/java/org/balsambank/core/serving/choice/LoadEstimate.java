package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.TargetResidency;

/**
 * Estimates the time until an adapter is resident at a target.
 *
 * <p>Stateless and thread-safe.
 */
final class LoadEstimate {
    /** The time of a load of which the target has no recent local copy. */
    static final double FROM_STORE_MILLIS = 300;
    /** The time that is left of a load that has begun. */
    static final double PENDING_MILLIS = 150;

    private static final double LOCAL_COPY_MILLIS = 45;
    private static final double QUEUED_MILLIS = 120;
    private static final int PARALLEL_LOADS = 4;

    private LoadEstimate() {}

    /**
     * Estimates the time until an adapter that is not resident yet is loaded.
     *
     * @param adapter the adapter
     * @param residency the residency of the target
     * @param localCopy whether the target has a recent local copy
     * @return the estimate in milliseconds
     */
    static double millis(final AdapterKey adapter, final TargetResidency residency, final boolean localCopy) {
        if (residency.pending().contains(adapter)) {
            return PENDING_MILLIS;
        }
        final double queued = Math.max(0, residency.pending().size() + 1 - PARALLEL_LOADS) * QUEUED_MILLIS;
        return queued + (localCopy ? LOCAL_COPY_MILLIS : FROM_STORE_MILLIS);
    }
}
