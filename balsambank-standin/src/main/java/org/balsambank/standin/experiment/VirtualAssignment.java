package org.balsambank.standin.experiment;

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

/**
 * An assignment of one partition that a trial moves from VM to VM.
 *
 * <p>Confined to one thread.
 */
final class VirtualAssignment {
    private static final PartitionId PARTITION = new PartitionId(0);

    private final Map<VmId, PublishProcessor<OwnershipChange>> changes = new HashMap<>();
    private VmId owner;
    private Epoch epoch = new Epoch(1);

    /**
     * Creates an assignment.
     *
     * @param owner the first owner
     */
    VirtualAssignment(final VmId owner) {
        this.owner = owner;
    }

    /**
     * Makes another VM the owner in a new epoch and notifies the former and the new owner.
     *
     * @param vm the new owner
     */
    void moveTo(final VmId vm) {
        changes.get(owner).onNext(new OwnershipChange(PARTITION, epoch, OwnershipChange.Kind.LOST));
        owner = vm;
        epoch = new Epoch(epoch.value() + 1);
        changes.get(vm).onNext(new OwnershipChange(PARTITION, epoch, OwnershipChange.Kind.GAINED));
    }

    /**
     * Creates the view of the assignment of one VM.
     *
     * @param vm the VM
     * @return its ownership
     */
    Ownership ownershipOf(final VmId vm) {
        changes.put(vm, PublishProcessor.create());
        return new View(vm);
    }

    /** The view of one VM. Confined to one thread. */
    private final class View implements Ownership {
        private final VmId vm;

        private View(final VmId vm) {
            this.vm = vm;
        }

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
            return vm.equals(owner) ? Optional.of(epoch) : Optional.empty();
        }

        @Override
        public Set<PartitionId> held() {
            return vm.equals(owner) ? Set.of(PARTITION) : Set.of();
        }

        @Override
        public Flowable<OwnershipChange> changes() {
            return changes.get(vm);
        }
    }
}
