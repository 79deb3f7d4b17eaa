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

/** Three VMs with idempotency services, one of which owns all shards, in virtual time. Confined to one thread. */
final class IdempotencyFleet {
    static final int VMS = 3;

    final TestScheduler clock = new TestScheduler();
    final FakeKeyValueService service = new FakeKeyValueService(clock, 21);
    final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    final List<PeerIdempotencyGate> gates = new ArrayList<>();
    final List<FakePeerTransport> transports = new ArrayList<>();
    private final FakePeerNetwork network = new FakePeerNetwork(clock, 22);
    private int owner;
    private long epoch = 1;
    private boolean lapsed;

    IdempotencyFleet(final IdempotencySettings settings) {
        for (int i = 0; i < VMS; i++) {
            final VmId vm = new VmId("vm-" + i);
            final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
            final FakePeerTransport peers = network.join(vm, loop);
            final Ownership view = new SingleOwner(i);
            final IdempotencyService idempotency = new IdempotencyService(
                    vm, view, new FakeKeyValueStore(service, vm, loop), loop.timer(), registry, settings);
            idempotency.register(peers);
            idempotency.run().subscribe();
            gates.add(new PeerIdempotencyGate(vm, i, view, peers, loop.timer(), settings));
            transports.add(peers);
        }
        advance(5_000);
    }

    /** Moves all shards to another VM. */
    void moveShards(final int vm) {
        owner = vm;
        epoch++;
    }

    /** Lets the owner's lease lapse and resume in the same epoch, because no other VM has taken over. */
    void lapseLease() {
        lapsed = true;
        advance(3_000);
        lapsed = false;
    }

    Ownership view() {
        return new SingleOwner(0);
    }

    void advance(final long millis) {
        clock.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    /** The ownership as seen by one VM. */
    private final class SingleOwner implements Ownership {
        private final int self;

        private SingleOwner(final int self) {
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
