package org.balsambank.core.serving.choice;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetState;

/**
 * Chooses the target of a plain service with the lowest estimate, for targets that report no pace.
 *
 * <p>Confined to the decision loop.
 */
final class LeastCostPlainPolicy implements TargetPolicy {
    private final InFlightRequests inFlight;
    private final PlainEstimate estimate;
    private final FailureDomain domain;
    private final RandomGenerator random;

    /**
     * Creates a policy.
     *
     * @param inFlight the requests in flight
     * @param estimate estimates the time at a target
     * @param domain the failure domain of this VM
     * @param random breaks ties between targets
     */
    LeastCostPlainPolicy(
            final InFlightRequests inFlight,
            final PlainEstimate estimate,
            final FailureDomain domain,
            final RandomGenerator random) {
        this.inFlight = Objects.requireNonNull(inFlight);
        this.estimate = Objects.requireNonNull(estimate);
        this.domain = Objects.requireNonNull(domain);
        this.random = Objects.requireNonNull(random);
    }

    @Override
    public Optional<TargetChoice> choose(final TargetRequirements required, final List<TargetState> candidates) {
        return CandidateSelection.leastCost(candidates, state -> {
            final int requests = inFlight.total(state.announcement().id()).requests();
            final TargetChoice choice = estimate.of(state.announcement(), requests, LoadForecast.NONE, domain);
            return Optional.of(choice.withAddedMillis(random.nextDouble()));
        });
    }
}
