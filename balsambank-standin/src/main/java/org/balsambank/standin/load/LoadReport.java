package org.balsambank.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * Computes the metrics of a run and formats them as a table and as JSON.
 *
 * <p>Confined to one thread.
 */
public final class LoadReport {
    /** A first token later than this counts as a load stall. Equals the time of one load from the weight store. */
    static final Duration STALL = Duration.ofMillis(250);

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    private final LoadResult result;
    private final Map<String, TeamMetrics> teams = new LinkedHashMap<>();
    private final Histogram firstToken = new Histogram(3);
    private final DomainOutageMetrics domains;

    /**
     * Computes the metrics. Those of the teams leave out calls of the warm-up, except {@link TeamMetrics#rateExcess()}.
     *
     * @param result the result of the run
     */
    public LoadReport(final LoadResult result) {
        this.result = result;
        for (final TeamProfile team : result.settings().profile().teams()) {
            teams.put(team.id(), new TeamMetrics(team));
        }
        final long warmUpNanos = (long) (result.settings().warmUpSeconds() * NANOS_PER_SECOND);
        for (final CallRecord record : result.records()) {
            final TeamMetrics team = teams.get(record.call().team().id());
            team.addRequestInterval(record);
            if (record.call().offsetNanos() >= warmUpNanos) {
                team.add(record);
            }
        }
        teams.values().forEach(team -> firstToken.add(team.firstToken()));
        domains = new DomainOutageMetrics(result);
    }

    /**
     * Returns the metrics over all teams.
     *
     * @return the values by name
     */
    public JsonObject metrics() {
        final TargetStatsSampler targetStats = result.targetStatsSampler();
        final double busyNanos = targetStats.engineIncrease("busyNanos");
        final double meanBatch = busyNanos == 0 ? 0 : targetStats.engineIncrease("batchNanos") / busyNanos;
        final TeamMetrics worst = teams.values().stream()
                .min(Comparator.comparingDouble(TeamMetrics::shareServed))
                .orElseThrow();
        final int withinRate =
                teams.values().stream().mapToInt(TeamMetrics::withinRate).sum();
        final int rejected = teams.values().stream()
                .mapToInt(TeamMetrics::withinRateRejected)
                .sum();
        return new JsonObject()
                .put(
                        "loadStalls",
                        teams.values().stream()
                                .mapToInt(TeamMetrics::loadStalls)
                                .sum())
                .put(
                        "streams",
                        teams.values().stream().mapToInt(TeamMetrics::streams).sum())
                .put("firstTokenP50Millis", Percentiles.millis(firstToken, 50))
                .put("firstTokenP95Millis", Percentiles.millis(firstToken, 95))
                .put("firstTokenP99Millis", Percentiles.millis(firstToken, 99))
                .put("tokenGapP95Millis", Percentiles.millis(result.tokenGaps(), 95))
                .put("loads", targetStats.engineIncrease("loads"))
                .put("evictions", targetStats.engineIncrease("evictions"))
                .put("meanBatch", meanBatch)
                .put("bestBatch", targetStats.idealMeanBatch())
                .put(
                        "batchEfficiency",
                        targetStats.idealMeanBatch() == 0 ? 0 : meanBatch / targetStats.idealMeanBatch())
                .put("worstTeam", worst.teamId())
                .put("worstTeamShareServed", worst.shareServed())
                .put("worstTeamP95Millis", worst.firstTokenP95Millis())
                .put("withinRate", withinRate)
                .put("withinRateRefused", rejected)
                .mergeIn(domains.toJson());
    }

    /**
     * Returns the report as JSON.
     *
     * @return the settings, metrics, teams, guarantees and actions
     */
    public JsonObject toJson() {
        final JsonArray byTeam = new JsonArray();
        teams.values().forEach(team -> byTeam.add(team.toJson()));
        final JsonArray actions = new JsonArray();
        result.actions().forEach(completed -> actions.add(actionJson(completed)));
        final JsonArray guarantees = new JsonArray();
        guarantees().forEach(guarantee -> guarantees.add(guarantee.toJson()));
        return new JsonObject()
                .put("profile", result.settings().profile().name())
                .put("seed", result.settings().seed())
                .put("seconds", result.settings().seconds())
                .put("scale", result.settings().scale())
                .put("measures", metrics())
                .put("teams", byTeam)
                .put("actions", actions)
                .put("promises", guarantees);
    }

    /**
     * Checks the guarantees of the system.
     *
     * @return one result for each guarantee
     */
    public List<GuaranteeResult> guarantees() {
        return new GuaranteeChecker(result, teams.values(), domains).checkAll();
    }

    /**
     * Returns the report as a table.
     *
     * @return the lines of the table
     */
    public List<String> table() {
        final List<String> lines = new ArrayList<>();
        final JsonObject metrics = metrics();
        add(
                lines,
                "%s, seed %d, %.0f s measured after a warm-up of %.0f s, scale %.2f",
                result.settings().profile().name(),
                result.settings().seed(),
                result.settings().seconds(),
                result.settings().warmUpSeconds(),
                result.settings().scale());
        add(
                lines,
                "load stalls (first token > %d ms): %d of %d streams; first token p50 %.0f, p95 %.0f, p99 %.0f ms; "
                        + "%.0f loads, %.0f evictions",
                STALL.toMillis(),
                metrics.getInteger("loadStalls"),
                metrics.getInteger("streams"),
                metrics.getDouble("firstTokenP50Millis"),
                metrics.getDouble("firstTokenP95Millis"),
                metrics.getDouble("firstTokenP99Millis"),
                metrics.getDouble("loads"),
                metrics.getDouble("evictions"));
        add(
                lines,
                "batch efficiency: mean batch %.2f of best %.2f = %.0f%%; time between tokens p95 %.1f ms",
                metrics.getDouble("meanBatch"),
                metrics.getDouble("bestBatch"),
                PERCENT * metrics.getDouble("batchEfficiency"),
                metrics.getDouble("tokenGapP95Millis"));
        add(
                lines,
                "worst-served team: %s, %.2f%% of its requests within the rate served, first token p95 %.0f ms",
                metrics.getString("worstTeam"),
                PERCENT * metrics.getDouble("worstTeamShareServed"),
                metrics.getDouble("worstTeamP95Millis"));
        add(
                lines,
                "refused although within the rate: %d of %d = %.2f%%",
                metrics.getInteger("withinRateRefused"),
                metrics.getInteger("withinRate"),
                PERCENT * metrics.getInteger("withinRateRefused") / Math.max(1, metrics.getInteger("withinRate")));
        lines.addAll(domains.lines());
        addTeams(lines);
        result.actions()
                .forEach(completed -> add(
                        lines,
                        "at %.1f s %s: %s in %.0f ms",
                        RunClock.seconds(completed.startNanos()),
                        completed.action().label(),
                        completed.accepted() ? "done" : "FAILED " + completed.response(),
                        (completed.endNanos() - completed.startNanos()) / NANOS_PER_MILLI));
        return lines;
    }

    private void addTeams(final List<String> lines) {
        add(
                lines,
                "%-12s %7s %7s %7s %8s %9s %9s %6s %5s %9s  %s",
                "team",
                "sent",
                "within",
                "served",
                "share %",
                "refused",
                "wrongful",
                "wrong",
                "cut",
                "p95 ms",
                "errors");
        for (final TeamMetrics team : teams.values()) {
            final JsonObject teamJson = team.toJson();
            add(
                    lines,
                    "%-12s %7d %7d %7d %8.2f %9d %9d %6d %5d %9.0f  %s",
                    teamJson.getString("team"),
                    teamJson.getInteger("sent"),
                    teamJson.getInteger("withinRate"),
                    teamJson.getInteger("served"),
                    PERCENT * teamJson.getDouble("shareServed"),
                    teamJson.getInteger("refusedByRate"),
                    teamJson.getInteger("withinRateRefused"),
                    teamJson.getInteger("wrong"),
                    teamJson.getInteger("cut"),
                    teamJson.getDouble("firstTokenP95Millis"),
                    teamJson.getJsonObject("errors").encode());
        }
    }

    private static JsonObject actionJson(final CompletedAction completed) {
        return new JsonObject()
                .put("action", completed.action().label())
                .put("atSeconds", RunClock.seconds(completed.startNanos()))
                .put("tookMillis", (completed.endNanos() - completed.startNanos()) / NANOS_PER_MILLI)
                .put("accepted", completed.accepted());
    }

    private static void add(final List<String> lines, final String format, final Object... values) {
        lines.add(String.format(Locale.ROOT, format, values));
    }
}
