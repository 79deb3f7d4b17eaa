package org.balsambank.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.OwnershipChange;

/** Ownership of partitions as seen by one VM, controlled by the test. Confined to one thread. */
final class FakeOwnership implements Ownership {
    private static final int PARTITIONS = 64;

    private final VmId self;
    private final Map<PartitionId, VmId> owners;
    private final Map<PartitionId, Epoch> epochs;
    private final PublishProcessor<OwnershipChange> changes = PublishProcessor.create();
    private boolean expired;

    FakeOwnership(final VmId self, final Map<PartitionId, VmId> owners, final Map<PartitionId, Epoch> epochs) {
        this.self = self;
        this.owners = owners;
        this.epochs = epochs;
    }

    /** Creates the ownership of a VM that holds every partition. */
    static FakeOwnership ofAll() {
        final VmId self = new VmId("vm-0");
        final Map<PartitionId, VmId> owners = new HashMap<>();
        final Map<PartitionId, Epoch> epochs = new HashMap<>();
        for (int i = 0; i < PARTITIONS; i++) {
            owners.put(new PartitionId(i), self);
            epochs.put(new PartitionId(i), new Epoch(2));
        }
        return new FakeOwnership(self, owners, epochs);
    }

    /** Sets whether the lease of this VM has expired. */
    void expire(final boolean nowExpired) {
        expired = nowExpired;
    }

    /** Emits a change of ownership to the subscribers. */
    void signal(final PartitionId partition, final OwnershipChange.Kind kind) {
        changes.onNext(new OwnershipChange(partition, epochs.get(partition), kind));
    }

    @Override
    public PartitionId partitionOf(final SubjectKind kind, final String id) {
        return new PartitionId(Math.floorMod((kind + "/" + id).hashCode(), PARTITIONS));
    }

    @Override
    public Optional<VmId> ownerOf(final PartitionId partition) {
        return Optional.ofNullable(owners.get(partition));
    }

    @Override
    public Optional<Epoch> heldEpoch(final PartitionId partition) {
        return expired || !self.equals(owners.get(partition)) ? Optional.empty() : Optional.of(epochs.get(partition));
    }

    @Override
    public Set<PartitionId> held() {
        return owners.keySet();
    }

    @Override
    public Flowable<OwnershipChange> changes() {
        return changes;
    }
}
