package org.balsambank.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleBiFunction;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.fake.FakeDecisionLoop;
import org.balsambank.core.fake.FakePeerNetwork;
import org.balsambank.core.fake.FakePeerTransport;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;

/** A fleet of VMs with rate gates, and its callers, in virtual time. Confined to one thread. */
final class RateFleet {
    private static final long STEP_MILLIS = 5;

    private final TestScheduler clock = new TestScheduler();
    private final Random random;
    private final FakePeerNetwork network;
    private final FakeAssignment assignment;
    private final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    private final Map<TeamId, GlobalBucketComparison> comparisons = new HashMap<>();
    private final Map<TeamId, RateLimit> limits = new HashMap<>();
    private final List<VmId> vms = new ArrayList<>();
    private final Map<VmId, Node> nodes = new HashMap<>();

    RateFleet(final int size, final long seed, final Map<TeamId, RateLimit> limits) {
        this.random = new Random(seed);
        this.network = new FakePeerNetwork(clock, seed);
        this.limits.putAll(limits);
        for (int i = 0; i < size; i++) {
            vms.add(new VmId("vm-" + i));
        }
        this.assignment = new FakeAssignment(() -> clock.now(TimeUnit.NANOSECONDS), vms.get(0), 1);
        limits.forEach((team, limit) -> comparisons.put(team, new GlobalBucketComparison(limit)));
        vms.forEach(vm -> nodes.put(vm, node(vm, vm.hashCode())));
    }

    private Node node(final VmId vm, final long boot) {
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        final FakePeerTransport transport = network.join(vm, loop);
        final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        final var ownership = assignment.of(vm);
        final ShareLender lender = new ShareLender(
                vm, new Limits(), ownership, transport, loop.timer(), RateSettings.DEFAULT, invariants, registry);
        final LendingRateGate gate = new LendingRateGate(
                new Limits(), ownership, transport, loop.timer(), RateSettings.DEFAULT, boot, registry);
        lender.start();
        gate.start();
        return new Node(loop, transport, lender, gate);
    }

    /** Sends requests for a time; the function gives the requests per second for a team and a VM. */
    void run(final Duration time, final ToDoubleBiFunction<TeamId, VmId> demand) {
        final long steps = time.toMillis() / STEP_MILLIS;
        for (long step = 0; step < steps; step++) {
            for (final TeamId team : limits.keySet().stream().sorted().toList()) {
                for (final VmId vm : vms) {
                    final int requests = poisson(demand.applyAsDouble(team, vm) * STEP_MILLIS / 1000);
                    for (int i = 0; i < requests; i++) {
                        send(team, vm);
                    }
                }
            }
            clock.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private int poisson(final double mean) {
        int count = 0;
        for (double product = random.nextDouble(); product > Math.exp(-mean); product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private void send(final TeamId team, final VmId vm) {
        final VmId entry = nodes.get(vm).loop().killed() ? randomLiveVm() : vm;
        final GlobalBucketComparison comparison = comparisons.get(team);
        final long now = clock.now(TimeUnit.NANOSECONDS);
        comparison.offered(now);
        nodes.get(entry)
                .gate()
                .admit(team, 1)
                .subscribe(
                        grant -> comparison.admitted(clock.now(TimeUnit.NANOSECONDS)),
                        error -> comparison.refused(now));
    }

    private VmId randomLiveVm() {
        final List<VmId> live =
                vms.stream().filter(vm -> !nodes.get(vm).loop().killed()).toList();
        return live.get(random.nextInt(live.size()));
    }

    void changeLimit(final TeamId team, final RateLimit limit) {
        limits.put(team, limit);
    }

    /** Restarts the comparison for a team with a new limit. */
    void restartComparison(final TeamId team, final RateLimit limit) {
        comparisons.put(team, new GlobalBucketComparison(limit));
    }

    void messageLossRate(final double share) {
        network.messageLossRate(share);
    }

    /** Kills the owner; the next VM takes over after a delay. */
    void killOwner(final Duration takeOver) {
        final VmId old = assignment.owner();
        nodes.get(old).loop().kill();
        moveAfter(takeOver, next(old));
    }

    /** Hands the accounts over to the next VM after a transfer time, as in a planned stop. */
    void handOver(final Duration transferTime, final boolean withState) {
        final VmId old = assignment.owner();
        final VmId next = next(old);
        assignment.endLeaseAt(clock.now(TimeUnit.NANOSECONDS));
        final ByteString state = nodes.get(old).lender().exportState(FakeAssignment.PARTITION);
        clock.scheduleDirect(
                () -> {
                    if (withState) {
                        nodes.get(next).lender().importState(FakeAssignment.PARTITION, assignment.nextEpoch(), state);
                    }
                    assignment.moveTo(next);
                },
                transferTime.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Pauses the owner beyond the end of its lease. Its callers are not redirected. */
    void pauseOwner(final Duration takeOver, final Duration pause) {
        final VmId old = assignment.owner();
        nodes.get(old).loop().pause();
        assignment.endLeaseAt(clock.now(TimeUnit.NANOSECONDS) + takeOver.toNanos());
        moveAfter(takeOver, next(old));
        clock.scheduleDirect(() -> nodes.get(old).loop().resume(), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Ends the lease of the owner, as in an outage of the key-value service; the next VM takes over after a delay. */
    void endOwnerLease(final Duration takeOver) {
        assignment.endLeaseAt(clock.now(TimeUnit.NANOSECONDS));
        moveAfter(takeOver, next(assignment.owner()));
    }

    private VmId next(final VmId vm) {
        return vms.get((vms.indexOf(vm) + 1) % vms.size());
    }

    private void moveAfter(final Duration delay, final VmId vm) {
        clock.scheduleDirect(() -> assignment.moveTo(vm), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    VmId owner() {
        return assignment.owner();
    }

    List<VmId> vms() {
        return vms;
    }

    GlobalBucketComparison comparison(final TeamId team) {
        return comparisons.get(team);
    }

    List<String> violations() {
        return invariants.violations();
    }

    double messagesPerVm() {
        return nodes.values().stream()
                .mapToLong(node -> node.transport().messagesSent())
                .average()
                .orElse(0);
    }

    /** One VM. */
    private record Node(FakeDecisionLoop loop, FakePeerTransport transport, ShareLender lender, RateGate gate) {}

    /** A catalogue with limits that the test changes. */
    private final class Limits implements CatalogueSource {
        @Override
        public Catalogue current() {
            final Map<TeamId, Team> teams = new HashMap<>();
            limits.forEach((id, limit) -> teams.put(id, new Team(id, limit, 1, List.of())));
            return new Catalogue(new Revision(1), teams, Map.of(), Map.of(), Map.of(), Set.of(), Set.of());
        }

        @Override
        public Flowable<Catalogue> changes() {
            return Flowable.just(current());
        }
    }
}
