package org.balsambank.standin.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.team.CallPerRequestRateGate;
import org.balsambank.core.team.FixedSplitRateGate;
import org.balsambank.core.team.LendingRateGate;
import org.balsambank.core.team.LocalRateGate;
import org.balsambank.core.team.RateGate;
import org.balsambank.core.team.RateSettings;
import org.balsambank.core.team.ShareLender;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * Runs one rate policy on a number of VMs in virtual time: a steady minute, a minute that starts with a crash of the
 * owner, and a minute in which each team's demand moves to another VM every ten seconds.
 *
 * <p>Confined to one thread. The same seed produces the same requests.
 */
final class RateTrial {
    /** The length of each of the three phases. */
    static final int PHASE_SECONDS = 60;

    private static final int STEP_MILLIS = 5;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final int FAILOVER_SECONDS = 6;
    private static final int DEMAND_MOVE_SECONDS = 10;

    private final TestScheduler clock = new TestScheduler();
    private final TimerService timers = SchedulerTimerService.ofVirtual(clock);
    private final VirtualPeers peers = new VirtualPeers(clock);
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final InvariantMonitor invariants = new InvariantMonitor(registry);
    private final List<VmId> vms = new ArrayList<>();
    private final Map<VmId, RateGate> gates = new HashMap<>();
    private final Map<TeamId, RateComparison> comparisons = new TreeMap<>();
    private final Map<TeamId, Double> demand;
    private final CatalogueSource catalogue;
    private final Random random;
    private final VirtualAssignment assignment;

    /**
     * Creates a trial.
     *
     * @param policy the rate policy
     * @param size the number of VMs
     * @param catalogue the teams with their limits
     * @param demand the requests a second of each team
     * @param seed the seed of the arrivals
     */
    RateTrial(
            final RatePolicy policy,
            final int size,
            final Catalogue catalogue,
            final Map<TeamId, Double> demand,
            final long seed) {
        this.catalogue = new FixedCatalogue(catalogue);
        this.demand = new TreeMap<>(demand);
        this.random = new Random(seed);
        for (int i = 0; i < size; i++) {
            vms.add(new VmId("vm-" + i));
        }
        this.assignment = new VirtualAssignment(vms.get(0));
        catalogue.teams().forEach((id, team) -> comparisons.put(id, new RateComparison(team.limit())));
        vms.forEach(vm -> gates.put(vm, gate(policy, vm)));
    }

    private RateGate gate(final RatePolicy policy, final VmId vm) {
        final PeerTransport links = peers.transportOf(vm);
        final Ownership ownership = assignment.ownershipOf(vm);
        final RateSettings settings = RateSettings.DEFAULT;
        new ShareLender(vm, catalogue, ownership, links, timers, settings, invariants, registry).start();
        return switch (policy) {
            case SHARES -> {
                final LendingRateGate gate = new LendingRateGate(
                        catalogue,
                        ownership,
                        links,
                        timers,
                        settings,
                        vm.value().hashCode(),
                        registry);
                gate.start();
                yield gate;
            }
            case FIXED_SPLIT -> new FixedSplitRateGate(catalogue, timers, vms::size);
            case CALL_PER_REQUEST ->
                new CallPerRequestRateGate(
                        ownership, links, timers, settings, vm.value().hashCode());
            case FULL_RATE -> new LocalRateGate(catalogue, timers);
        };
    }

    /** Runs the three phases. */
    void run() {
        runPhase();
        final VmId first = vms.get(0);
        peers.stop(first);
        clock.scheduleDirect(() -> assignment.moveTo(vms.get(1 % vms.size())), FAILOVER_SECONDS, TimeUnit.SECONDS);
        runPhase();
        runPhase();
    }

    private void runPhase() {
        for (int step = 0; step < PHASE_SECONDS * MILLIS_PER_SECOND / STEP_MILLIS; step++) {
            demand.forEach(this::sendArrivals);
            clock.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sendArrivals(final TeamId team, final double perSecond) {
        final double mean = perSecond * STEP_MILLIS / MILLIS_PER_SECOND;
        for (double product = random.nextDouble(); product > Math.exp(-mean); product *= random.nextDouble()) {
            send(team, chooseEntryVm(team));
        }
    }

    /** Sends half of a team's requests to its home VM in the first two phases, and all of them in the last phase. */
    private VmId chooseEntryVm(final TeamId team) {
        final long second = clock.now(TimeUnit.SECONDS);
        final boolean moving = second >= 2L * PHASE_SECONDS;
        final long turn = moving ? second / DEMAND_MOVE_SECONDS : 0;
        final VmId home = vms.get((int) Math.floorMod(team.value().hashCode() + turn, vms.size()));
        final VmId entry = moving || random.nextBoolean() ? home : vms.get(random.nextInt(vms.size()));
        return peers.isRunning(entry) ? entry : vms.get(1 + random.nextInt(vms.size() - 1));
    }

    private void send(final TeamId team, final VmId entry) {
        final RateComparison comparison = comparisons.get(team);
        final long now = clock.now(TimeUnit.NANOSECONDS);
        comparison.recordOffered(now);
        gates.get(entry)
                .admit(team, 1)
                .subscribe(
                        grant -> comparison.recordAdmitted(clock.now(TimeUnit.NANOSECONDS)),
                        error -> comparison.recordRejected(now));
    }

    /**
     * Returns the comparison with the reference bucket of each team.
     *
     * @return the comparisons by team
     */
    Map<TeamId, RateComparison> comparisons() {
        return comparisons;
    }

    /**
     * Returns the mean rate of messages that a VM sends.
     *
     * @return messages a second per VM
     */
    double messagesPerSecond() {
        return peers.messages() / (3.0 * PHASE_SECONDS) / vms.size();
    }

    /**
     * Returns the mean rate of payload that a VM sends.
     *
     * @return bytes a second per VM
     */
    double bytesPerSecond() {
        return peers.bytes() / (3.0 * PHASE_SECONDS) / vms.size();
    }

    /**
     * Returns the violated invariants.
     *
     * @return a description of each violation
     */
    List<String> violations() {
        return invariants.violations();
    }

    /**
     * Returns the limit of a team.
     *
     * @param team the team
     * @return its rate and burst
     */
    RateLimit limit(final TeamId team) {
        return catalogue.current().teams().get(team).limit();
    }
}
