package org.balsambank.core.serving.choice;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetState;

/**
 * Chooses a target of a plain service by its estimate and by the load that it has reported.
 *
 * <p>Confined to the decision loop.
 */
final class ReportedPlainPolicy implements TargetPolicy {
    private final UsageView usages;
    private final ReportedLoads loads;
    private final PlainEstimate estimate;
    private final FailureDomain domain;
    private final CandidateSelection selection;

    /**
     * Creates a policy.
     *
     * @param usages the requests in flight on which the choice is based
     * @param loads the loads that targets have reported
     * @param estimate estimates the time at a target
     * @param domain the failure domain of this VM
     * @param selection selects among the candidates
     */
    ReportedPlainPolicy(
            final UsageView usages,
            final ReportedLoads loads,
            final PlainEstimate estimate,
            final FailureDomain domain,
            final CandidateSelection selection) {
        this.usages = Objects.requireNonNull(usages);
        this.loads = Objects.requireNonNull(loads);
        this.estimate = Objects.requireNonNull(estimate);
        this.domain = Objects.requireNonNull(domain);
        this.selection = Objects.requireNonNull(selection);
    }

    @Override
    public Optional<TargetChoice> choose(final TargetRequirements required, final List<TargetState> candidates) {
        return selection.select(candidates, state -> Optional.of(of(state.announcement())));
    }

    /** Estimates the choice of one target. */
    TargetChoice of(final TargetAnnouncement target) {
        final LoadForecast forecast = LoadForecast.of(loads.of(target.id()));
        final double requests = forecast.occupancy(usages.total(target.id()).requests(), usages.certain(target.id()));
        return estimate.of(target, requests, forecast, domain);
    }
}
