package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.TargetResidency;

/**
 * Estimates how long an adapter takes to be at a target.
 *
 * <p>Stateless and thread-safe.
 */
final class LoadEstimate {
    private static final double COPY_AT_HAND_MILLIS = 45;
    private static final double FROM_STORE_MILLIS = 300;
    private static final double PENDING_MILLIS = 150;
    private static final double QUEUED_MILLIS = 120;
    private static final int PARALLEL_LOADS = 4;

    private LoadEstimate() {}

    /**
     * Estimates the time until an adapter is there that is not there yet.
     *
     * @param adapter the adapter
     * @param held what the target holds
     * @param atHand whether the target has held it lately
     * @return milliseconds
     */
    static double millis(final AdapterKey adapter, final TargetResidency held, final boolean atHand) {
        if (held.pending().contains(adapter)) {
            return PENDING_MILLIS;
        }
        final double queued = Math.max(0, held.pending().size() + 1 - PARALLEL_LOADS) * QUEUED_MILLIS;
        return queued + (atHand ? COPY_AT_HAND_MILLIS : FROM_STORE_MILLIS);
    }
}
