package org.balsambank.core.partition;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.partition.OwnershipChange.Kind;

/**
 * The partitions that the adopted assignment gives to this process, and for which of them it may act.
 *
 * <p>Confined to the decision loop. Invariant: a partition is held only if it was taken up under its present epoch, is
 * not being released, and the given predicate holds at this instant.
 */
final class OwnedPartitions {
    private final Predicate<Member> inForce;
    private final Map<PartitionId, PartitionState> slots = new TreeMap<>();
    private final Map<PartitionId, Epoch> takenUp = new TreeMap<>();
    private final Map<PartitionId, Epoch> announced = new TreeMap<>();
    private final Set<PartitionId> releasing = new HashSet<>();
    private final FlowableProcessor<OwnershipChange> changes =
            PublishProcessor.<OwnershipChange>create().toSerialized();

    /**
     * Creates an empty set.
     *
     * @param inForce tells whether a registration may act at this instant
     */
    OwnedPartitions(final Predicate<Member> inForce) {
        this.inForce = inForce;
    }

    /**
     * Takes over an assignment. Partitions that were handed over are taken up at once.
     *
     * @param assignment the assignment
     * @param self this process
     * @param gained runs for each partition that is taken up, before it may be acted for
     */
    void adopt(final Assignment assignment, final Member self, final BiConsumer<PartitionId, Epoch> gained) {
        slots.clear();
        for (int i = 0; i < assignment.partitions().size(); i++) {
            final PartitionState slot = assignment.partitions().get(i);
            if (slot.ownedBy(self)) {
                slots.put(new PartitionId(i), slot);
            }
        }
        takenUp.entrySet().removeIf(entry -> !isCurrent(entry.getKey(), entry.getValue()));
        releasing.retainAll(slots.keySet());
        slots.forEach((partition, slot) -> {
            if (slot.handedOver() && !takenUp.containsKey(partition)) {
                gained.accept(partition, slot.epoch());
                takenUp.put(partition, slot.epoch());
            }
        });
    }

    /**
     * Returns the partitions that still have to be taken up.
     *
     * @return the number
     */
    int waiting() {
        return slots.size() - takenUp.size();
    }

    /**
     * Tells whether some partition that was taken up is not protected by the lease.
     *
     * @param protectedByLease tells whether a registration is
     * @return true if promises are needed to act for it
     */
    boolean needPromises(final Predicate<Member> protectedByLease) {
        return takenUp.keySet().stream().anyMatch(partition -> !slots.get(partition)
                .owner()
                .map(protectedByLease::test)
                .orElse(false));
    }

    /** Takes up all partitions: the earlier owners can no longer act. */
    void takeUpAll() {
        slots.forEach((partition, slot) -> takenUp.putIfAbsent(partition, slot.epoch()));
    }

    /**
     * Returns the epoch under which this VM may act at this instant.
     *
     * @param partition the partition
     * @return the epoch, or empty
     */
    Optional<Epoch> heldEpoch(final PartitionId partition) {
        final PartitionState slot = slots.get(partition);
        if (slot == null || !takenUp.containsKey(partition) || releasing.contains(partition)) {
            return Optional.empty();
        }
        return slot.owner().filter(inForce).map(owner -> slot.epoch());
    }

    /**
     * Returns the partitions for which this VM may act at this instant.
     *
     * @return the partitions
     */
    Set<PartitionId> held() {
        return slots.keySet().stream()
                .filter(partition -> heldEpoch(partition).isPresent())
                .collect(Collectors.toSet());
    }

    /**
     * Stops to act for partitions that are about to be handed over.
     *
     * @param partitions the partitions
     */
    void release(final Set<PartitionId> partitions) {
        releasing.addAll(partitions);
    }

    /**
     * Acts again for partitions that were not handed over.
     *
     * @param partitions the partitions
     */
    void keep(final Set<PartitionId> partitions) {
        releasing.removeAll(partitions);
    }

    /** Emits what was gained and lost since the last time. */
    void announce() {
        for (final Map.Entry<PartitionId, Epoch> entry : new TreeMap<>(announced).entrySet()) {
            final PartitionId partition = entry.getKey();
            if (releasing.contains(partition) && isCurrent(partition, entry.getValue())) {
                continue;
            }
            if (!heldEpoch(partition).equals(Optional.of(entry.getValue()))) {
                announced.remove(partition);
                changes.onNext(new OwnershipChange(partition, entry.getValue(), Kind.LOST));
            }
        }
        slots.keySet().forEach(partition -> heldEpoch(partition)
                .filter(epoch -> !announced.containsKey(partition))
                .ifPresent(epoch -> {
                    announced.put(partition, epoch);
                    changes.onNext(new OwnershipChange(partition, epoch, Kind.GAINED));
                }));
    }

    /**
     * Emits each gain and loss.
     *
     * @return the changes
     */
    Flowable<OwnershipChange> changes() {
        return changes.onBackpressureBuffer();
    }

    private boolean isCurrent(final PartitionId partition, final Epoch epoch) {
        final PartitionState slot = slots.get(partition);
        return slot != null && slot.epoch().equals(epoch);
    }
}
