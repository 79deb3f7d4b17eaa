package org.balsambank.core.partition;

import java.util.Optional;
import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;

/**
 * The owner of each partition, that is the VM that decides for it.
 *
 * <p>Invariant: at any instant at most one VM obtains an epoch from {@link #heldEpoch}. Confined to the decision loop.
 */
public interface Ownership {
    /**
     * Returns the partition of a subject.
     *
     * @param kind the kind of subject
     * @param id the id of the subject
     * @return its partition
     */
    PartitionId partitionOf(SubjectKind kind, String id);

    /**
     * Returns the last known owner of a partition, which may be out of date.
     *
     * @param partition the partition
     * @return the owner, if one is known
     */
    Optional<VmId> ownerOf(PartitionId partition);

    /**
     * Returns the epoch of this VM if it may act as the owner at this instant. To be called right before each action.
     *
     * @param partition the partition
     * @return the epoch, or empty if this VM is not the owner or cannot be certain that it is
     */
    Optional<Epoch> heldEpoch(PartitionId partition);

    /**
     * Returns the partitions for which this VM may act at this instant.
     *
     * @return the partitions
     */
    Set<PartitionId> held();

    /**
     * Returns the gains and losses of partitions by this VM.
     *
     * @return emits each change when it happens
     */
    Flowable<OwnershipChange> changes();

    /** The kinds of subjects that are mapped to partitions. */
    enum SubjectKind {
        /** A team, for its rate and burst. */
        TEAM,
        /** A target, for admission and orders. */
        TARGET,
        /** An idempotency key, for its record. */
        IDEMPOTENCY_KEY
    }
}
