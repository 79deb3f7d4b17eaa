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
 * The partitions that the adopted assignment gives to this process, and those of them for which it may act.
 *
 * <p>Confined to the decision loop. Invariant: a partition is held only if it is active in its current epoch, is not
 * being released, and the given predicate holds at this instant.
 */
final class OwnedPartitions {
    private final Predicate<Member> inForce;
    private final Map<PartitionId, PartitionState> owned = new TreeMap<>();
    private final Map<PartitionId, Epoch> active = new TreeMap<>();
    private final Map<PartitionId, Epoch> emitted = new TreeMap<>();
    private final Set<PartitionId> releasing = new HashSet<>();
    private final FlowableProcessor<OwnershipChange> changes =
            PublishProcessor.<OwnershipChange>create().toSerialized();

    /**
     * Creates an empty set.
     *
     * @param inForce whether a registration may act at this instant
     */
    OwnedPartitions(final Predicate<Member> inForce) {
        this.inForce = inForce;
    }

    /**
     * Adopts an assignment. Partitions that were handed over become active at once.
     *
     * @param assignment the assignment to adopt
     * @param self this VM's process
     * @param gained called for each partition that was handed over, before it becomes active
     */
    void adopt(final Assignment assignment, final Member self, final BiConsumer<PartitionId, Epoch> gained) {
        owned.clear();
        for (int i = 0; i < assignment.partitions().size(); i++) {
            final PartitionState state = assignment.partitions().get(i);
            if (state.ownedBy(self)) {
                owned.put(new PartitionId(i), state);
            }
        }
        active.entrySet().removeIf(entry -> !isCurrent(entry.getKey(), entry.getValue()));
        releasing.retainAll(owned.keySet());
        owned.forEach((partition, state) -> {
            if (state.handedOver() && !active.containsKey(partition)) {
                gained.accept(partition, state.epoch());
                active.put(partition, state.epoch());
            }
        });
    }

    /**
     * Returns the number of owned partitions that are not active yet.
     *
     * @return the number of partitions whose earlier owner may still act
     */
    int inactiveCount() {
        return owned.size() - active.size();
    }

    /**
     * Returns whether some active partition is not protected by the lease.
     *
     * @param protectedByLease whether the lease protects a registration
     * @return true if promises of the voters are needed to act for some partition
     */
    boolean needPromises(final Predicate<Member> protectedByLease) {
        return active.keySet().stream().anyMatch(partition -> !owned.get(partition)
                .owner()
                .map(protectedByLease::test)
                .orElse(false));
    }

    /** Activates all owned partitions, after their earlier owners can no longer act. */
    void activateAll() {
        owned.forEach((partition, state) -> active.putIfAbsent(partition, state.epoch()));
    }

    /**
     * Returns the epoch in which this VM may act for a partition at this instant.
     *
     * @param partition the partition
     * @return the epoch, or empty if this VM may not act
     */
    Optional<Epoch> heldEpoch(final PartitionId partition) {
        final PartitionState state = owned.get(partition);
        if (state == null || !active.containsKey(partition) || releasing.contains(partition)) {
            return Optional.empty();
        }
        return state.owner().filter(inForce).map(owner -> state.epoch());
    }

    /**
     * Returns the partitions for which this VM may act at this instant.
     *
     * @return the partitions
     */
    Set<PartitionId> held() {
        return owned.keySet().stream()
                .filter(partition -> heldEpoch(partition).isPresent())
                .collect(Collectors.toSet());
    }

    /**
     * Stops acting for partitions that are about to be handed over.
     *
     * @param partitions the owned partitions that are about to be handed over
     */
    void release(final Set<PartitionId> partitions) {
        releasing.addAll(partitions);
    }

    /**
     * Ends the release of partitions; those that are still owned are held again.
     *
     * @param partitions the partitions that were passed to {@link #release}
     */
    void endRelease(final Set<PartitionId> partitions) {
        releasing.removeAll(partitions);
    }

    /** Emits the gains and losses since the last call. */
    void emitChanges() {
        for (final Map.Entry<PartitionId, Epoch> entry : new TreeMap<>(emitted).entrySet()) {
            final PartitionId partition = entry.getKey();
            if (releasing.contains(partition) && isCurrent(partition, entry.getValue())) {
                continue;
            }
            if (!heldEpoch(partition).equals(Optional.of(entry.getValue()))) {
                emitted.remove(partition);
                changes.onNext(new OwnershipChange(partition, entry.getValue(), Kind.LOST));
            }
        }
        owned.keySet().forEach(partition -> heldEpoch(partition)
                .filter(epoch -> !emitted.containsKey(partition))
                .ifPresent(epoch -> {
                    emitted.put(partition, epoch);
                    changes.onNext(new OwnershipChange(partition, epoch, Kind.GAINED));
                }));
    }

    /**
     * Returns the gains and losses as they are emitted.
     *
     * @return the changes
     */
    Flowable<OwnershipChange> changes() {
        return changes.onBackpressureBuffer();
    }

    private boolean isCurrent(final PartitionId partition, final Epoch epoch) {
        final PartitionState state = owned.get(partition);
        return state != null && state.epoch().equals(epoch);
    }
}
