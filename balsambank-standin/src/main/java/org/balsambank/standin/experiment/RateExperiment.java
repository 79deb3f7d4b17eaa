package org.balsambank.standin.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TeamId;

/**
 * Compares policies that enforce the rates of teams across VMs, in virtual time and in one run.
 *
 * <p>Stateless and thread-safe. Over-admission is the number of units that the worst window admits above
 * rate x time + burst.
 */
public final class RateExperiment {
    private static final int DEFAULT_VMS = 7;
    private static final long DEFAULT_SEED = 1;
    private static final int WARM_UP_SECONDS = 10;
    private static final List<TeamDemand> TEAMS = List.of(
            new TeamDemand("theses", 60, 120, 54),
            new TeamDemand("notaries", 40, 80, 32),
            new TeamDemand("offices", 30, 60, 20),
            new TeamDemand("students", 20, 60, 16),
            new TeamDemand("flyers", 30, 60, 150));

    private RateExperiment() {}

    /**
     * Runs the comparison.
     *
     * @param arguments the number of VMs, the seed and the name of the only policy, all optional
     */
    public static void main(final String[] arguments) {
        final int vms = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_VMS;
        final long seed = arguments.length > 1 ? Long.parseLong(arguments[1]) : DEFAULT_SEED;
        final List<RatePolicy> policies = arguments.length > 2
                ? List.of(RatePolicy.valueOf(arguments[2].toUpperCase(Locale.ROOT)))
                : List.of(RatePolicy.values());
        run(vms, seed, policies, System.out);
    }

    /**
     * Runs the comparison and prints a table.
     *
     * @param vms the number of VMs, at least 2
     * @param seed the seed of the arrivals
     * @param policies the compared policies
     * @param out the destination of the table
     */
    static void run(final int vms, final long seed, final List<RatePolicy> policies, final PrintStream out) {
        out.printf(Locale.ROOT, "rates on %d VMs, seed %d; flyers sends 5 times its rate%n", vms, seed);
        out.printf(
                Locale.ROOT, "%-17s %-9s %9s %9s %9s %9s%n", "policy", "team", "over", "steady%", "death%", "moving%");
        for (final RatePolicy policy : policies) {
            final RateTrial trial = new RateTrial(policy, vms, catalogue(), demands(), seed);
            trial.run();
            print(policy, trial, out);
        }
    }

    private static void print(final RatePolicy policy, final RateTrial trial, final PrintStream out) {
        final int phase = RateTrial.PHASE_SECONDS;
        final String name = policy.name().toLowerCase(Locale.ROOT);
        trial.comparisons()
                .forEach((team, comparison) -> row(
                        out,
                        name,
                        team.value(),
                        comparison.overAdmitted(),
                        List.of(
                                comparison.excessRejectionPercent(WARM_UP_SECONDS, phase),
                                comparison.excessRejectionPercent(phase, 2 * phase),
                                comparison.excessRejectionPercent(2 * phase, 3 * phase))));
        row(
                out,
                name,
                "worst",
                worst(trial, RateComparison::overAdmitted),
                List.of(
                        worst(trial, comparison -> comparison.excessRejectionPercent(WARM_UP_SECONDS, phase)),
                        worst(trial, comparison -> comparison.excessRejectionPercent(phase, 2 * phase)),
                        worst(trial, comparison -> comparison.excessRejectionPercent(2 * phase, 3 * phase))));
        out.printf(
                Locale.ROOT,
                "%-17s messages a second per VM %.1f, payload bytes a second per VM %.0f, broken invariants %d%n",
                name,
                trial.messagesPerSecond(),
                trial.bytesPerSecond(),
                trial.violations().size());
    }

    private static void row(
            final PrintStream out,
            final String policy,
            final String team,
            final double over,
            final List<Double> phases) {
        out.printf(
                Locale.ROOT,
                "%-17s %-9s %9.1f %9.3f %9.3f %9.3f%n",
                policy,
                team,
                over,
                phases.get(0),
                phases.get(1),
                phases.get(2));
    }

    private static double worst(final RateTrial trial, final ToDoubleFunction<RateComparison> figure) {
        return trial.comparisons().values().stream().mapToDouble(figure).max().orElse(0);
    }

    private static Catalogue catalogue() {
        final Map<TeamId, Team> teams =
                TEAMS.stream().map(TeamDemand::team).collect(Collectors.toMap(Team::id, team -> team));
        return new Catalogue(new Revision(1), teams, Map.of(), Map.of(), Map.of(), Set.of(), Set.of());
    }

    private static Map<TeamId, Double> demands() {
        return TEAMS.stream().collect(Collectors.toMap(team -> new TeamId(team.name()), TeamDemand::demand));
    }

    /**
     * A team with its limit and its demand; rate and demand are in requests a second, burst in requests.
     *
     * <p>Immutable and thread-safe.
     */
    private record TeamDemand(String name, double rate, double burst, double demand) {
        private Team team() {
            return new Team(new TeamId(name), new RateLimit(RateUnit.REQUESTS, rate, burst), 1, List.of());
        }
    }
}
