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

/** VMs with their rate gates in virtual time, and callers. Confined to one thread. */
final class RateFleet {
    private static final long STEP_MILLIS = 5;

    private final TestScheduler clock = new TestScheduler();
    private final Random random;
    private final FakePeerNetwork network;
    private final FakeAssignment assignment;
    private final InvariantMonitor invariants = new InvariantMonitor(new SimpleMeterRegistry());
    private final Map<TeamId, Referee> referees = new HashMap<>();
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
        limits.forEach((team, limit) -> referees.put(team, new Referee(limit)));
        vms.forEach(vm -> nodes.put(vm, node(vm, vm.hashCode())));
    }

    private Node node(final VmId vm, final long boot) {
        final FakeDecisionLoop loop = new FakeDecisionLoop(clock);
        final FakePeerTransport link = network.join(vm, loop);
        final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        final var ownership = assignment.of(vm);
        final ShareLender owner = new ShareLender(
                vm, new Limits(), ownership, link, loop.timer(), RateSettings.DEFAULT, invariants, registry);
        final LendingRateGate gate =
                new LendingRateGate(new Limits(), ownership, link, loop.timer(), RateSettings.DEFAULT, boot, registry);
        owner.start();
        gate.start();
        return new Node(loop, link, owner, gate);
    }

    /** Sends requests for some seconds; the function gives the requests a second for a team and a VM. */
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
        final VmId entry = nodes.get(vm).loop().killed() ? live() : vm;
        final Referee referee = referees.get(team);
        final long now = clock.now(TimeUnit.NANOSECONDS);
        referee.offered(now);
        nodes.get(entry)
                .gate()
                .admit(team, 1)
                .subscribe(grant -> referee.admitted(clock.now(TimeUnit.NANOSECONDS)), error -> referee.refused(now));
    }

    private VmId live() {
        final List<VmId> live =
                vms.stream().filter(vm -> !nodes.get(vm).loop().killed()).toList();
        return live.get(random.nextInt(live.size()));
    }

    void changeLimit(final TeamId team, final RateLimit limit) {
        limits.put(team, limit);
    }

    /** Starts a new comparison for a team. */
    void judge(final TeamId team, final RateLimit limit) {
        referees.put(team, new Referee(limit));
    }

    void loss(final double share) {
        network.messageLossRate(share);
    }

    /** Kills the owner; another VM takes over after a time. */
    void killOwner(final Duration takeOver) {
        final VmId old = assignment.owner();
        nodes.get(old).loop().kill();
        moveAfter(takeOver, next(old));
    }

    /** Hands the accounts over to the next VM, as a planned stop does, with some time under way. */
    void handOver(final Duration underWay, final boolean withState) {
        final VmId old = assignment.owner();
        final VmId next = next(old);
        assignment.endAt(clock.now(TimeUnit.NANOSECONDS));
        final ByteString state = nodes.get(old).owner().exportState(FakeAssignment.PARTITION);
        clock.scheduleDirect(
                () -> {
                    if (withState) {
                        nodes.get(next).owner().importState(FakeAssignment.PARTITION, assignment.nextEpoch(), state);
                    }
                    assignment.moveTo(next);
                },
                underWay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Pauses the owner past its lease. Its callers are sent elsewhere only by their own patience. */
    void pauseOwner(final Duration takeOver, final Duration pause) {
        final VmId old = assignment.owner();
        nodes.get(old).loop().pause();
        assignment.endAt(clock.now(TimeUnit.NANOSECONDS) + takeOver.toNanos());
        moveAfter(takeOver, next(old));
        clock.scheduleDirect(() -> nodes.get(old).loop().resume(), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops the owner from acting, as an outage of the service does, until it ends. */
    void endOwner(final Duration until) {
        assignment.endAt(clock.now(TimeUnit.NANOSECONDS));
        moveAfter(until, next(assignment.owner()));
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

    Referee referee(final TeamId team) {
        return referees.get(team);
    }

    List<String> broken() {
        return invariants.violations();
    }

    double messagesPerVm() {
        return nodes.values().stream()
                .mapToLong(node -> node.link().messagesSent())
                .average()
                .orElse(0);
    }

    /** One VM. */
    private record Node(FakeDecisionLoop loop, FakePeerTransport link, ShareLender owner, RateGate gate) {}

    /** The catalogue that the test changes. */
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
