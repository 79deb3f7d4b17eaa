package org.balsambank.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakeKeyValueService;
import org.balsambank.core.fake.FakeKeyValueStore;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.OwnershipChange;

/** Three VMs that keep idempotency records, one of which owns all shards. Confined to one thread. */
final class RecordKeepers {
    static final int VMS = 3;

    final TestScheduler clock = new TestScheduler();
    final FakeKeyValueService service = new FakeKeyValueService(clock, 21);
    final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    final List<PeerIdempotencyGate> gates = new ArrayList<>();
    final List<FakePeerTransport> links = new ArrayList<>();
    private final FakePeerNetwork network = new FakePeerNetwork(clock, 22);
    private int owner;
    private long epoch = 1;
    private boolean lapsed;

    RecordKeepers(final IdempotencySettings settings) {
        for (int i = 0; i < VMS; i++) {
            final VmId vm = new VmId("vm-" + i);
            final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
            final FakePeerTransport peers = network.join(vm, loop);
            final Ownership view = new OneOwner(i);
            final IdempotencyService keeper = new IdempotencyService(
                    vm, view, new FakeKeyValueStore(service, vm, loop), loop.timer(), registry, settings);
            keeper.register(peers);
            keeper.run().subscribe();
            gates.add(new PeerIdempotencyGate(vm, i, view, peers, loop.timer(), settings));
            links.add(peers);
        }
        advance(5_000);
    }

    /** Moves all shards to another VM. */
    void move(final int vm) {
        owner = vm;
        epoch++;
    }

    /** Lets the owner's lease lapse and come back in the same epoch, since nobody else acted. */
    void lapse() {
        lapsed = true;
        advance(3_000);
        lapsed = false;
    }

    Ownership view() {
        return new OneOwner(0);
    }

    void advance(final long millis) {
        clock.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    /** What one VM sees. */
    private final class OneOwner implements Ownership {
        private final int self;

        private OneOwner(final int self) {
            this.self = self;
        }

        @Override
        public PartitionId partitionOf(final SubjectKind kind, final String id) {
            return new PartitionId(Math.floorMod(id.hashCode(), 64));
        }

        @Override
        public Optional<VmId> ownerOf(final PartitionId partition) {
            return Optional.of(new VmId("vm-" + owner));
        }

        @Override
        public Optional<Epoch> heldEpoch(final PartitionId partition) {
            return owner == self && !lapsed ? Optional.of(new Epoch(epoch)) : Optional.empty();
        }

        @Override
        public Set<PartitionId> held() {
            return Set.of();
        }

        @Override
        public Flowable<OwnershipChange> changes() {
            return Flowable.never();
        }
    }
}
