package org.balsambank.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.OwnershipChange;
import org.balsambank.core.time.TimerService;

/** Assigns each partition to one VM at a time; views of the owner lag behind. Confined to one thread. */
final class SimOwnership {
    static final int PARTITIONS = 8;
    private static final Duration VIEW_LAG = Duration.ofMillis(300);

    private final Map<PartitionId, List<Holding>> holdings = new HashMap<>();
    private final TimerService timer;

    SimOwnership(final TimerService timer) {
        this.timer = timer;
    }

    void assign(final PartitionId partition, final VmId vm) {
        final List<Holding> history = holdings.computeIfAbsent(partition, key -> new ArrayList<>());
        history.add(new Holding(vm, new Epoch(history.size() + 1L), timer.nanoTime()));
    }

    VmId owner(final PartitionId partition) {
        return currentHolding(partition).vm();
    }

    Ownership view(final VmId vm) {
        return new View(vm);
    }

    private Holding currentHolding(final PartitionId partition) {
        final List<Holding> history = holdings.get(partition);
        return history.get(history.size() - 1);
    }

    private VmId laggingOwner(final PartitionId partition) {
        final long visibleUntil = timer.nanoTime() - VIEW_LAG.toNanos();
        final List<Holding> history = holdings.get(partition);
        return history.stream()
                .filter(holding -> holding.since() <= visibleUntil)
                .reduce(history.get(0), (first, second) -> second)
                .vm();
    }

    /** The ownership as seen by one VM. */
    private final class View implements Ownership {
        private final VmId vm;

        private View(final VmId vm) {
            this.vm = vm;
        }

        @Override
        public PartitionId partitionOf(final SubjectKind kind, final String id) {
            return new PartitionId(Math.floorMod(id.hashCode(), PARTITIONS));
        }

        @Override
        public Optional<VmId> ownerOf(final PartitionId partition) {
            return Optional.of(laggingOwner(partition));
        }

        @Override
        public Optional<Epoch> heldEpoch(final PartitionId partition) {
            final Holding holding = currentHolding(partition);
            return holding.vm().equals(vm) ? Optional.of(holding.epoch()) : Optional.empty();
        }

        @Override
        public Set<PartitionId> held() {
            return holdings.keySet().stream()
                    .filter(partition -> owner(partition).equals(vm))
                    .collect(Collectors.toSet());
        }

        @Override
        public Flowable<OwnershipChange> changes() {
            return Flowable.never();
        }
    }

    /** One epoch of a partition: its owner and the time at which it began. */
    private record Holding(VmId vm, Epoch epoch, long since) {}
}
