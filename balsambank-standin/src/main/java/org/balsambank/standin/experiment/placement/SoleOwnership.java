package org.balsambank.standin.experiment.placement;

import java.util.Optional;
import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.OwnershipChange;

/**
 * The ownership of a VM that owns the only partition.
 *
 * <p>Immutable and thread-safe.
 */
final class SoleOwnership implements Ownership {
    private static final PartitionId ALL = new PartitionId(0);
    private static final VmId SELF = new VmId("vm");
    private static final Epoch EPOCH = new Epoch(1);

    @Override
    public PartitionId partitionOf(final SubjectKind kind, final String id) {
        return ALL;
    }

    @Override
    public Optional<VmId> ownerOf(final PartitionId partition) {
        return Optional.of(SELF);
    }

    @Override
    public Optional<Epoch> heldEpoch(final PartitionId partition) {
        return Optional.of(EPOCH);
    }

    @Override
    public Set<PartitionId> held() {
        return Set.of(ALL);
    }

    @Override
    public Flowable<OwnershipChange> changes() {
        return Flowable.never();
    }
}
