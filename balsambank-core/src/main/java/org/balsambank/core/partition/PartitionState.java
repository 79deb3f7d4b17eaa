package org.balsambank.core.partition;

import java.util.Optional;

import org.balsambank.core.id.Epoch;

/**
 * What the assignment says of one partition.
 *
 * <p>Immutable and thread-safe.
 *
 * @param owner the owner, if there is one
 * @param epoch goes up with each change of the owner
 * @param handedOver true if the earlier owner stopped before this was written, or there was none
 */
record PartitionState(Optional<Member> owner, Epoch epoch, boolean handedOver) {
    /** The state of a partition that never had an owner. */
    static final PartitionState FREE = new PartitionState(Optional.empty(), new Epoch(0), true);

    /**
     * Returns the slot with a new owner and the next epoch.
     *
     * @param next the new owner
     * @param released true if the earlier owner has stopped for sure
     * @return the new slot
     */
    PartitionState moveTo(final Member next, final boolean released) {
        return new PartitionState(Optional.of(next), new Epoch(epoch.value() + 1), released);
    }

    /**
     * Returns the slot under another registration of the same process.
     *
     * @param registration the registration
     * @return the new slot, with the same epoch
     */
    PartitionState relabel(final Member registration) {
        return new PartitionState(Optional.of(registration), epoch, handedOver);
    }

    /**
     * Tells whether a process is the owner, under any of its registrations.
     *
     * @param process a registration of the process
     * @return true if it is
     */
    boolean ownedBy(final Member process) {
        return owner.isPresent() && owner.get().sameProcess(process);
    }
}
