package org.balsambank.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.balsambank.standin.load.ScheduledCall.Kind;

/**
 * The metrics of one team. A call is within the rate if the reference token bucket found it within the team's rate.
 *
 * <p>Confined to one thread.
 */
final class TeamMetrics {
    private static final double P50 = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    private final TeamProfile team;
    private final Histogram firstToken = new Histogram(3);
    private final Map<String, Integer> errors = new TreeMap<>();
    private final List<RateExcessCheck.RequestInterval> intervals = new ArrayList<>();

    private int sent;
    private int withinRate;
    private int served;
    private int withinRateServed;
    private int rejectedByRateLimit;
    private int withinRateRejected;
    private int incorrect;
    private int truncated;
    private int loadStalls;
    private int streams;

    /**
     * Creates metrics without calls.
     *
     * @param team the team
     */
    TeamMetrics(final TeamProfile team) {
        this.team = team;
    }

    /**
     * Counts a call.
     *
     * @param record the call
     */
    void add(final CallRecord record) {
        sent++;
        withinRate += record.withinRate() ? 1 : 0;
        incorrect += record.incorrect() ? 1 : 0;
        truncated += record.truncated() ? 1 : 0;
        if (record.served()) {
            addServed(record);
        } else if (!record.incorrect()) {
            addFailed(record);
        }
    }

    /**
     * Adds a call to the intervals that {@link #rateExcess()} searches. A call without a complete response is ignored.
     *
     * @param record the call
     */
    void addRequestInterval(final CallRecord record) {
        if (record.result().isWhole()) {
            final long sentNanos = record.call().offsetNanos() + record.sendDelayNanos();
            intervals.add(new RateExcessCheck.RequestInterval(
                    sentNanos, sentNanos + record.result().firstTokenNanos(), record.tokens()));
        }
    }

    private void addServed(final CallRecord record) {
        served++;
        withinRateServed += record.withinRate() ? 1 : 0;
        if (record.call().kind() == Kind.STREAM) {
            streams++;
            firstToken.recordValue(record.firstTokenNanos());
            loadStalls += record.firstTokenNanos() > LoadReport.STALL.toNanos() ? 1 : 0;
        }
    }

    private void addFailed(final CallRecord record) {
        errors.merge(record.result().kind(), 1, Integer::sum);
        if (record.rejectedByRateLimit()) {
            rejectedByRateLimit++;
            withinRateRejected += record.withinRate() ? 1 : 0;
        }
    }

    /**
     * Returns the id of the team.
     *
     * @return the team id
     */
    String teamId() {
        return team.id();
    }

    /**
     * Returns the fraction of the requests within the rate that were served.
     *
     * @return a value from 0 to 1; 1 if there were no such requests
     */
    double shareServed() {
        return withinRate == 0 ? 1 : (double) withinRateServed / withinRate;
    }

    /**
     * Returns the number of requests within the rate.
     *
     * @return the count
     */
    int withinRate() {
        return withinRate;
    }

    /**
     * Returns the number of requests within the rate that were rejected by the rate limit.
     *
     * @return the count
     */
    int withinRateRejected() {
        return withinRateRejected;
    }

    /**
     * Returns the number of complete but incorrect responses.
     *
     * @return the count
     */
    int incorrect() {
        return incorrect;
    }

    /**
     * Returns the number of truncated responses.
     *
     * @return the count
     */
    int truncated() {
        return truncated;
    }

    /**
     * Returns the number of streams whose first token came later than {@link LoadReport#STALL}.
     *
     * @return the count
     */
    int loadStalls() {
        return loadStalls;
    }

    /**
     * Returns the number of streams that were served.
     *
     * @return the count
     */
    int streams() {
        return streams;
    }

    /**
     * Returns the times from the planned send to the first token of the served streams.
     *
     * @return the histogram in nanoseconds
     */
    Histogram firstToken() {
        return firstToken;
    }

    /**
     * Returns a lower bound on the excess over the team's rate and burst.
     *
     * @return the excess in requests or tokens, whichever the team's rate counts; 0 if none is certain
     */
    double rateExcess() {
        return new RateExcessCheck(team.limit()).maxExcess(intervals);
    }

    /**
     * Returns the 95th percentile of the time to first token.
     *
     * @return milliseconds
     */
    double firstTokenP95Millis() {
        return Percentiles.millis(firstToken, P95);
    }

    /**
     * Returns the metrics as JSON.
     *
     * @return the metrics by name
     */
    JsonObject toJson() {
        final JsonObject byKind = new JsonObject();
        errors.forEach(byKind::put);
        return new JsonObject()
                .put("team", team.id())
                .put("sent", sent)
                .put("withinRate", withinRate)
                .put("served", served)
                .put("shareServed", shareServed())
                .put("refusedByRate", rejectedByRateLimit)
                .put("withinRateRefused", withinRateRejected)
                .put("overdrawn", rateExcess())
                .put("wrong", incorrect)
                .put("cut", truncated)
                .put("stalls", loadStalls)
                .put("streams", streams)
                .put("firstTokenP50Millis", Percentiles.millis(firstToken, P50))
                .put("firstTokenP95Millis", Percentiles.millis(firstToken, P95))
                .put("firstTokenP99Millis", Percentiles.millis(firstToken, P99))
                .put("errors", byKind);
    }
}
