package org.balsambank.core.team;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.OwnershipChange;

/** A fake assignment of one partition that a test moves between VMs. Confined to one thread. */
final class FakeAssignment {
    static final PartitionId PARTITION = new PartitionId(0);

    private final LongSupplier clock;
    private final Map<VmId, PublishProcessor<OwnershipChange>> changes = new HashMap<>();
    private VmId owner;
    private Epoch epoch;
    private long endNanos = Long.MAX_VALUE;

    FakeAssignment(final LongSupplier clock, final VmId owner, final long epoch) {
        this.clock = clock;
        this.owner = owner;
        this.epoch = new Epoch(epoch);
    }

    /** Ends the lease of the owner at a time, whether its loop runs or not. */
    void endLeaseAt(final long nanos) {
        endNanos = nanos;
    }

    /** Makes another VM the owner. */
    void moveTo(final VmId vm) {
        changes.get(owner).onNext(new OwnershipChange(PARTITION, epoch, OwnershipChange.Kind.LOST));
        owner = vm;
        epoch = new Epoch(epoch.value() + 1);
        endNanos = Long.MAX_VALUE;
        changes.get(vm).onNext(new OwnershipChange(PARTITION, epoch, OwnershipChange.Kind.GAINED));
    }

    Epoch nextEpoch() {
        return new Epoch(epoch.value() + 1);
    }

    VmId owner() {
        return owner;
    }

    Ownership of(final VmId vm) {
        changes.put(vm, PublishProcessor.create());
        return new Ownership() {
            @Override
            public PartitionId partitionOf(final SubjectKind kind, final String id) {
                return PARTITION;
            }

            @Override
            public Optional<VmId> ownerOf(final PartitionId partition) {
                return Optional.of(owner);
            }

            @Override
            public Optional<Epoch> heldEpoch(final PartitionId partition) {
                return vm.equals(owner) && clock.getAsLong() < endNanos ? Optional.of(epoch) : Optional.empty();
            }

            @Override
            public Set<PartitionId> held() {
                return heldEpoch(PARTITION).isPresent() ? Set.of(PARTITION) : Set.of();
            }

            @Override
            public Flowable<OwnershipChange> changes() {
                return changes.get(vm);
            }
        };
    }
}
