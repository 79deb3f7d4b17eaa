package org.balsambank.core.partition;

import java.util.Optional;

import org.balsambank.core.id.Epoch;

/**
 * The owner and epoch of one partition in an assignment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param owner the owner, if there is one
 * @param epoch increases with each change of the owner
 * @param handedOver true if the earlier owner had stopped acting before this was written, or there was none
 */
record PartitionState(Optional<Member> owner, Epoch epoch, boolean handedOver) {
    /** The state of a partition that never had an owner. */
    static final PartitionState UNOWNED = new PartitionState(Optional.empty(), new Epoch(0), true);

    /**
     * Returns the state with a new owner and the next epoch.
     *
     * @param next the new owner
     * @param released true if the earlier owner is known to have stopped acting, or there was none
     * @return the new state
     */
    PartitionState withOwner(final Member next, final boolean released) {
        return new PartitionState(Optional.of(next), new Epoch(epoch.value() + 1), released);
    }

    /**
     * Returns the state with another registration of the same process as the owner.
     *
     * @param registration the new registration of the owner
     * @return the new state, with the same epoch
     */
    PartitionState withRegistration(final Member registration) {
        return new PartitionState(Optional.of(registration), epoch, handedOver);
    }

    /**
     * Returns whether a process is the owner, under any of its registrations.
     *
     * @param process a registration of the process
     * @return true if it is the owner
     */
    boolean ownedBy(final Member process) {
        return owner.isPresent() && owner.get().sameProcess(process);
    }
}
