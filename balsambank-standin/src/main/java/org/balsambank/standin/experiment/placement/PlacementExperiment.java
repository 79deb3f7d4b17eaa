package org.balsambank.standin.experiment.placement;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

import org.balsambank.core.target.LeastLoadedTargetSelector;
import org.balsambank.core.target.RandomTargetSelector;
import org.balsambank.core.target.RendezvousTargetSelector;
import org.balsambank.core.target.RoundRobinTargetSelector;

/**
 * Compares rendezvous placement with baseline policies on the same requests.
 *
 * <p>Stateless and thread-safe.
 */
public final class PlacementExperiment {
    private static final int TARGETS = 13;
    private static final int ADAPTERS = 3_000;
    private static final int CONCURRENCY = 16;
    private static final Duration RUN_TIME = Duration.ofSeconds(4);
    private static final double MAX_STALL_RATIO = 0.5;
    private static final long MAX_DRAIN_MILLIS = 3_000;

    private PlacementExperiment() {}

    /**
     * Runs the comparison and prints a table.
     *
     * @param rate requests a second
     * @param seconds virtual seconds of traffic
     * @param slots the number of adapter slots of a model runner
     * @param seed the seed of all random choices
     * @param out the destination of the table
     * @return true if the targets are met
     */
    public static boolean run(
            final double rate, final int seconds, final int slots, final long seed, final PrintStream out) {
        final PlacementSettings settings = new PlacementSettings(
                TARGETS, ADAPTERS, slots, CONCURRENCY, rate, RUN_TIME, Duration.ofSeconds(seconds), seed);
        final PlacementResult leastLoaded = new PlacementRun(
                        settings, (timers, random) -> new LeastLoadedTargetSelector(timers))
                .run("least loaded");
        final PlacementResult rendezvous = new PlacementRun(
                        settings,
                        (timers, random) -> new RendezvousTargetSelector(timers, PlacementFleet.domain(1), random))
                .run("balsambank");
        final List<PlacementResult> results = List.of(
                new PlacementRun(settings, (timers, random) -> new RandomTargetSelector(random)).run("random"),
                new PlacementRun(settings, (timers, random) -> new RoundRobinTargetSelector()).run("round robin"),
                leastLoaded,
                rendezvous);
        out.printf("%s%n", settings);
        out.println("placement     sent refused stalls  share p50ms p95ms p99ms batch loads outms broken");
        results.forEach(result -> print(result, out));
        final boolean stallsMet = rendezvous.stallShare() <= MAX_STALL_RATIO * leastLoaded.stallShare();
        final boolean drainMet = rendezvous.domainDrainMillis() < MAX_DRAIN_MILLIS;
        out.printf(
                "stalls at most half of least loaded: %s (%.3f against %.3f)%n",
                stallsMet ? "met" : "not met", rendezvous.stallShare(), leastLoaded.stallShare());
        out.printf("domain out to last new request under 3 s: %s%n", drainMet ? "met" : "not met");
        return stallsMet && drainMet;
    }

    private static void print(final PlacementResult result, final PrintStream out) {
        out.printf(
                "%-12s %5d %7d %6d %6.3f %5d %5d %5d %5.2f %5d %5d %6d%n",
                result.name(),
                result.sent(),
                result.rejected(),
                result.stalls(),
                result.stallShare(),
                result.p50Millis(),
                result.p95Millis(),
                result.p99Millis(),
                result.meanBatch(),
                result.loads(),
                result.domainDrainMillis(),
                result.violations());
    }
}
