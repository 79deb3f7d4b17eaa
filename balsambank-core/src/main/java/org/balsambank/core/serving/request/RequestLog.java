package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.choice.TargetChoice;
import org.balsambank.core.serving.load.LoadReport;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.ResidencyResult;

/**
 * Writes the lines of the decision log that concern one request.
 *
 * <p>Confined to the decision loop.
 */
final class RequestLog {
    private final DecisionLog log;
    private final RequestAttributes attributes;

    /**
     * Creates the log of a request.
     *
     * @param log the log of all decisions
     * @param attributes the attributes of the request
     */
    RequestLog(final DecisionLog log, final RequestAttributes attributes) {
        this.log = Objects.requireNonNull(log);
        this.attributes = Objects.requireNonNull(attributes);
    }

    /**
     * Begins a line.
     *
     * @param event the event
     * @return the line, which names the request
     */
    DecisionLog.Line line(final String event) {
        return log.line(event).with("request", attributes.id().value());
    }

    /**
     * Logs that the wait for an adapter has ended.
     *
     * @param target the target that was to load the adapter
     * @param adapter the adapter
     * @param result whether the target holds the adapter, or why not
     * @param waitedMillis the duration of the wait
     */
    void adapterWaitEnded(
            final TargetId target, final AdapterKey adapter, final ResidencyResult result, final long waitedMillis) {
        line("adapter_wait")
                .with("target", target.value())
                .with("adapter", adapter.toString())
                .with("held", String.valueOf(result.resident()))
                .with("reason", result.reason())
                .with("waited_ms", waitedMillis)
                .write();
    }

    /**
     * Logs that the wait for a permit of a target that limits its requests has ended.
     *
     * @param target the target
     * @param granted whether there is a permit
     * @param waitedMillis the duration of the wait
     */
    void permitWaitEnded(final TargetId target, final boolean granted, final long waitedMillis) {
        line("permit")
                .with("target", target.value())
                .with("granted", String.valueOf(granted))
                .with("waited_ms", waitedMillis)
                .write();
    }

    /**
     * Logs an attempt that is about to be sent.
     *
     * @param choice the target and what was expected of it
     * @param attempt the number of the attempt, from 1
     * @param pacedMillis how long the request was held back
     * @param planVersion the version of the plan by which it was decided
     * @param planAge the age of this VM's knowledge of the plan
     * @param remainingMillis the time until the deadline
     */
    void sent(
            final TargetChoice choice,
            final int attempt,
            final long pacedMillis,
            final long planVersion,
            final Duration planAge,
            final long remainingMillis) {
        final Optional<LoadReport> report = choice.forecast().report();
        line("sent")
                .with("target", choice.target().id().value())
                .with("adapter", attributes.adapter().map(AdapterKey::toString).orElse(""))
                .with(
                        "parts",
                        attributes.sharedParts().stream()
                                .map(PromptPartId::value)
                                .collect(Collectors.joining(",")))
                .with("attempt", attempt)
                .with("estimate_ms", Math.round(choice.estimateMillis()))
                .with("read_ms", Math.round(choice.processingMillis()))
                .with("paced_ms", pacedMillis)
                .with("choice", choice.kind().label())
                .with("pace", report.map(each -> each.load().pace().orElse(0)).orElse(0))
                .with("waiting", report.map(each -> each.load().waiting()).orElse(0))
                .with("load_age_ms", report.map(each -> each.age().toMillis()).orElse(-1L))
                .with("plan_version", planVersion)
                .with("plan_age_ms", planAge.toMillis())
                .with("remaining_ms", remainingMillis)
                .write();
    }

    /**
     * Logs that an attempt has ended.
     *
     * @param target the target
     * @param end how it ended
     * @param head the head of the response, if it has arrived
     * @param notExecuted whether the target states that it has not executed the request
     * @param firstChunkMillis the time to the first chunk, negative if there was none
     * @param longestPauseMillis the longest pause between chunks
     * @param tookMillis the time since the attempt was sent
     */
    void attemptEnded(
            final TargetId target,
            final AttemptEnd end,
            final Optional<ResponseHead> head,
            final boolean notExecuted,
            final long firstChunkMillis,
            final long longestPauseMillis,
            final long tookMillis) {
        line("send_ended")
                .with("target", target.value())
                .with("end", end.name())
                .with("status", head.map(ResponseHead::status).orElse(0))
                .with("not_run", String.valueOf(notExecuted))
                .with("first_piece_ms", firstChunkMillis)
                .with("longest_pause_ms", longestPauseMillis)
                .with("took_ms", tookMillis)
                .write();
    }

    /**
     * Logs that this VM has cancelled an attempt.
     *
     * @param target the target
     * @param written whether a byte of the request may have reached the target
     * @param tookMillis the time since the attempt was sent
     */
    void attemptCancelled(final TargetId target, final boolean written, final long tookMillis) {
        line("send_ended")
                .with("target", target.value())
                .with("end", "CANCELLED")
                .with("written", String.valueOf(written))
                .with("took_ms", tookMillis)
                .write();
    }

    /**
     * Logs the end of the request.
     *
     * @param outcome the outcome
     * @param reason why, or empty
     * @param resolved the route and team, or empty if the request was rejected before
     * @param units the units of the team's rate that the request costs
     * @param attempts the number of attempts that were sent
     * @param planVersion the version of the plan by which it was decided
     * @param tookMillis the time since the request arrived
     */
    void ended(
            final String outcome,
            final String reason,
            final Optional<ResolvedRequest> resolved,
            final double units,
            final int attempts,
            final long planVersion,
            final long tookMillis) {
        line("ended")
                .with("outcome", outcome)
                .with("why", reason)
                .with("route", resolved.map(each -> each.route().name()).orElse(""))
                .with(
                        "team",
                        resolved.flatMap(ResolvedRequest::team)
                                .map(each -> each.id().value())
                                .orElse(""))
                .with("units", Math.round(units))
                .with("sends", attempts)
                .with("plan_version", planVersion)
                .with("took_ms", tookMillis)
                .write();
    }
}
