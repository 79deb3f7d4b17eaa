package org.balsambank.standin.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.team.LendingRateGate;
import org.balsambank.core.team.RateSettings;
import org.balsambank.core.team.ShareLender;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * Measures the time of an admission on one VM, including the requests for shares of the rate.
 *
 * <p>Stateless and thread-safe.
 */
public final class RateCost {
    private static final int WARM_UPS = 3;
    private static final int ADMISSIONS_PER_STEP = 100;
    private static final int STEPS = 20_000;
    private static final double UNREACHED_RATE = 1e8;
    private static final List<Integer> TEAM_COUNTS = List.of(5, 50, 500);

    private RateCost() {}

    /**
     * Runs the measurement.
     *
     * @param arguments ignored
     */
    public static void main(final String[] arguments) {
        run(System.out);
    }

    private static void run(final PrintStream out) {
        for (final int teams : TEAM_COUNTS) {
            double nanos = 0;
            for (int i = 0; i <= WARM_UPS; i++) {
                nanos = nanosPerAdmission(teams);
            }
            out.printf(Locale.ROOT, "teams %d: %.0f ns an admission%n", teams, nanos);
        }
    }

    private static double nanosPerAdmission(final int teamCount) {
        final TestScheduler clock = new TestScheduler();
        final TimerService timers = SchedulerTimerService.ofVirtual(clock);
        final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        final VmId vm = new VmId("vm-0");
        final PeerTransport links = new VirtualPeers(clock).transportOf(vm);
        final Ownership ownership = new VirtualAssignment(vm).ownershipOf(vm);
        final FixedCatalogue catalogue = new FixedCatalogue(catalogue(teamCount));
        final RateSettings settings = RateSettings.DEFAULT;
        new ShareLender(vm, catalogue, ownership, links, timers, settings, new InvariantMonitor(registry), registry)
                .start();
        final LendingRateGate gate = new LendingRateGate(catalogue, ownership, links, timers, settings, 1, registry);
        gate.start();
        final long start = System.nanoTime();
        for (int step = 0; step < STEPS; step++) {
            for (int i = 0; i < ADMISSIONS_PER_STEP; i++) {
                gate.admit(new TeamId("team-" + i % teamCount), 1).subscribe(grant -> grant.settle(1), error -> {});
            }
            clock.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        }
        return (System.nanoTime() - start) / (double) STEPS / ADMISSIONS_PER_STEP;
    }

    private static Catalogue catalogue(final int teamCount) {
        final Map<TeamId, Team> teams = IntStream.range(0, teamCount)
                .mapToObj(i -> new Team(
                        new TeamId("team-" + i),
                        new RateLimit(RateUnit.REQUESTS, UNREACHED_RATE, UNREACHED_RATE),
                        1,
                        List.of()))
                .collect(Collectors.toMap(Team::id, team -> team));
        return new Catalogue(new Revision(1), teams, Map.of(), Map.of(), Map.of(), Set.of(), Set.of());
    }
}
