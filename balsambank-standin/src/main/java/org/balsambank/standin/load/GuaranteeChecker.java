package org.balsambank.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

import org.balsambank.standin.client.CallResult.Outcome;
import org.balsambank.standin.load.GuaranteeResult.Verdict;
import org.balsambank.standin.load.ScheduledAction.Verb;
import org.balsambank.standin.load.ScheduledCall.Kind;

/**
 * Checks the guarantees of the system against the responses to the callers and the counters of the targets.
 *
 * <p>Confined to one thread.
 */
final class GuaranteeChecker {
    private static final Duration KEY_GRACE = Duration.ofSeconds(5);

    private final LoadResult result;
    private final Collection<TeamMetrics> teams;
    private final DomainOutageMetrics domains;
    private final List<GuaranteeResult> results = new ArrayList<>();

    /**
     * Creates a checker for one run.
     *
     * @param result the result of the run
     * @param teams the metrics of the teams
     * @param domains the metrics of the failure domain outages
     */
    GuaranteeChecker(final LoadResult result, final Collection<TeamMetrics> teams, final DomainOutageMetrics domains) {
        this.result = result;
        this.teams = teams;
        this.domains = domains;
    }

    /**
     * Checks all guarantees.
     *
     * @return one result for each guarantee
     */
    List<GuaranteeResult> checkAll() {
        results.clear();
        final TargetStatsSampler targetStats = result.targetStatsSampler();
        expectZero("each request runs on the adapter and version it asked for", countIncorrect());
        expectZero("an adapter that serves is not evicted", targetStats.engineSum("evictedWhileServing"));
        expectZero("a request runs only for a team whose key allows it", result.unauthorizedRuns());
        expectZero("no target sees a key", targetStats.engineSum("keysSeen") + targetStats.serviceSum("keysSeen"));
        expectZeroIf(
                wasPerformed(Verb.KEY_WITHDRAW),
                "a withdrawn key stops working within " + KEY_GRACE.toSeconds() + " s",
                countServedWithWithdrawnKey());
        expectZero(
                "no team gets more than its rate and burst (units over, worst window)",
                teams.stream().mapToDouble(TeamMetrics::rateExcess).max().orElse(0));
        expectZero("a cold target gets no more than it bears", targetStats.engineSum("fellOver"));
        expectZeroIf(
                wasPerformed(Verb.ENGINE_LIMIT) || wasPerformed(Verb.ENGINE_LEAVING) || wasPerformed(Verb.ENGINE_PAUSE),
                "an engine gets no more than it says that it takes",
                targetStats.engineSum("unheeded"));
        expectZeroIf(
                domains.hasOutages(),
                "a failure domain taken out gets no new work after " + DomainOutageMetrics.GRACE.toSeconds() + " s",
                domains.requestsWhileOut());
        expectZero("each answer comes whole or as an explicit error", countTruncated());
        expectZero("each call is answered before its caller gives up", countTimeouts());
        expectZero("a refusal that says not run is true", countRunsDespiteNotRun());
        expectZero("a call that must not be repeated runs at most once", countRanTwice());
        expectZeroIf(
                !result.actions().isEmpty(),
                "every change of the catalogue is accepted",
                result.actions().stream()
                        .filter(completed -> !completed.accepted())
                        .count());
        return List.copyOf(results);
    }

    private void expectZero(final String guarantee, final double count) {
        final Verdict verdict = count == 0 ? Verdict.PASS : Verdict.FAIL;
        results.add(new GuaranteeResult(guarantee, verdict, String.format(Locale.ROOT, "%.0f", Math.ceil(count))));
    }

    private void expectZeroIf(final boolean exercised, final String guarantee, final double count) {
        if (exercised) {
            expectZero(guarantee, count);
        } else {
            results.add(new GuaranteeResult(guarantee, Verdict.NONE, "not part of this run"));
        }
    }

    private boolean wasPerformed(final Verb verb) {
        return result.actions().stream()
                .anyMatch(completed -> completed.action().verb() == verb && completed.accepted());
    }

    private long countIncorrect() {
        return result.records().stream().filter(CallRecord::incorrect).count();
    }

    private long countTruncated() {
        return result.records().stream().filter(CallRecord::truncated).count();
    }

    private long countTimeouts() {
        return result.records().stream()
                .filter(record -> record.result().outcome() == Outcome.TIMEOUT)
                .count();
    }

    private long countRunsDespiteNotRun() {
        return result.records().stream()
                .filter(record -> record.call().kind() == Kind.SERVICE)
                .filter(record -> record.result().isNotRun())
                .filter(record -> result.serviceRuns().getOrDefault(record.id(), 0L) > 0)
                .count();
    }

    private long countRanTwice() {
        return result.serviceRuns().values().stream().filter(runs -> runs > 1).count();
    }

    private long countServedWithWithdrawnKey() {
        long served = 0;
        for (final CompletedAction completed : result.actions()) {
            if (completed.action().verb() == Verb.KEY_WITHDRAW && completed.accepted()) {
                served += countServedBetween(
                        completed.action().argument(),
                        completed.endNanos() + KEY_GRACE.toNanos(),
                        nextKeyNanos(completed));
            }
        }
        return served;
    }

    private long nextKeyNanos(final CompletedAction withdrawal) {
        return result.actions().stream()
                .filter(completed -> completed.action().verb() == Verb.KEY_GIVE)
                .filter(completed ->
                        completed.action().argument().equals(withdrawal.action().argument()))
                .filter(completed -> completed.startNanos() > withdrawal.endNanos())
                .mapToLong(CompletedAction::startNanos)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    private long countServedBetween(final String team, final long from, final long until) {
        return result.records().stream()
                .filter(record -> record.call().team().id().equals(team))
                .filter(record ->
                        record.call().offsetNanos() >= from && record.call().offsetNanos() < until)
                .filter(record -> record.result().isWhole())
                .count();
    }
}
