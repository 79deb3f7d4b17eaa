package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.serving.admission.AdmissionDecision;
import org.balsambank.core.serving.admission.AdmissionRequest;
import org.balsambank.core.serving.admission.FairAdmission;
import org.balsambank.core.serving.plan.TeamSpec;

/**
 * The fair admission of one request, from the decision to the begin of the response or the end of the request.
 *
 * <p>Confined to the decision loop.
 */
final class RequestAdmission {
    private static final double UNDECLARED_UNITS = 1_000;

    private final FairAdmission admission;
    private final RequestAttributes attributes;
    private final RandomGenerator random;
    private Optional<FairAdmission.AdmittedRequest> admitted = Optional.empty();

    /**
     * Creates the admission of a request that has not been decided.
     *
     * @param admission decides
     * @param attributes the attributes of the request
     * @param random the source of jitter
     */
    RequestAdmission(final FairAdmission admission, final RequestAttributes attributes, final RandomGenerator random) {
        this.admission = Objects.requireNonNull(admission);
        this.attributes = Objects.requireNonNull(attributes);
        this.random = Objects.requireNonNull(random);
    }

    /**
     * Decides about the request.
     *
     * @param resolved the request with its route and service
     * @param remaining the time until its deadline
     * @return empty if it is admitted, otherwise when to retry
     */
    Optional<Duration> decide(final ResolvedRequest resolved, final Duration remaining) {
        final int priority = resolved.team()
                .flatMap(TeamSpec::priority)
                .orElse(resolved.route().priority());
        final AdmissionDecision decision = admission.decide(new AdmissionRequest(
                attributes.id(),
                resolved.service().name(),
                resolved.team().map(TeamSpec::id),
                priority,
                attributes.promptTokens() > 0 ? attributes.promptTokens() : UNDECLARED_UNITS,
                resolved.route().targetLatencyMillis(),
                remaining,
                attributes.fingerprint()));
        admitted = decision.admitted();
        return decision.retryAfter();
    }

    /** Returns the units of the team's rate that the request costs. */
    double rateUnits(final TeamSpec team) {
        return attributes.tokensDeclared()
                ? attributes.promptTokens() + attributes.outputTokens()
                : team.defaultUnits();
    }

    /**
     * Returns when to retry if a response that begins after an estimated time comes too late; in overload the time is
     * one that callers honour.
     *
     * @param resolved the request with its route and service
     * @param deadline its deadline
     * @param estimateMillis the estimated time
     * @return empty if the request is not too late
     */
    Optional<Duration> tooLate(
            final ResolvedRequest resolved, final RequestDeadline deadline, final double estimateMillis) {
        final boolean overloaded = admission.overloaded(resolved.service().name());
        if (!deadline.cannotBeMet(resolved.route(), estimateMillis, overloaded)) {
            return Optional.empty();
        }
        final Duration expected =
                RetryAfter.jitteredDelay(estimateMillis - resolved.route().targetLatencyMillis(), random);
        if (!overloaded) {
            return Optional.of(expected);
        }
        admission.rejectedByEstimate(resolved.team().map(TeamSpec::id));
        final Duration latest = FairAdmission.latestRetry(deadline.remaining());
        return Optional.of(expected.compareTo(latest) > 0 ? latest : expected);
    }

    /** Records that the request is sent to a target, or waits only until the target has processed other prompts. */
    void dispatched() {
        admitted.ifPresent(FairAdmission.AdmittedRequest::dispatched);
    }

    /** Records that a successful response begins. */
    void responseBegun() {
        admitted.ifPresent(FairAdmission.AdmittedRequest::responseBegun);
    }

    /** Records the end of the request. */
    void end() {
        admitted.ifPresent(FairAdmission.AdmittedRequest::end);
    }
}
