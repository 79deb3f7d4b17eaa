package org.balsambank.core.serving.choice;

import java.util.Optional;

import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.HeldAdapters;

/**
 * Estimates how long an adapter takes to be at a target.
 *
 * <p>Answers the load pattern of rare adapters: an adapter always goes to the same few targets, where it is likely to
 * have been before, which makes a load short. Stateless and thread-safe.
 */
final class LoadEstimate {
    private static final double HOME_MILLIS = 120;
    private static final double NEXT_MILLIS = 260;
    private static final double OTHER_MILLIS = 330;
    private static final double PENDING_MILLIS = 150;
    private static final double QUEUED_MILLIS = 120;
    private static final int PARALLEL_LOADS = 4;

    private LoadEstimate() {}

    /**
     * Estimates the time until the adapter is there.
     *
     * @param adapter the adapter, if the request names one
     * @param version the least version, 0 for any
     * @param held what the target holds
     * @param rank the place of the target in the rendezvous order of the adapter, from 0
     * @return milliseconds, 0 if it is there
     */
    static double millis(
            final Optional<AdapterKey> adapter, final long version, final HeldAdapters held, final int rank) {
        if (adapter.isEmpty()) {
            return 0;
        }
        final AdapterKey key = adapter.get();
        if (held.version(key).isPresent() && held.version(key).getAsLong() >= version) {
            return 0;
        }
        if (held.pending().contains(key)) {
            return PENDING_MILLIS;
        }
        final double queued = Math.max(0, held.pending().size() + 1 - PARALLEL_LOADS) * QUEUED_MILLIS;
        return queued + (rank == 0 ? HOME_MILLIS : rank == 1 ? NEXT_MILLIS : OTHER_MILLIS);
    }
}
