package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * Chooses the target of a request: by the least expected cost, or for services whose targets report their pace, by
 * the expected cost and the reported load among a few random candidates.
 *
 * <p>Confined to the decision loop.
 */
public final class TargetChooser {
    /** The candidates that are compared, see docs/design/even-choice.md. */
    private static final int SAMPLE = 2;

    private final ReportedLoads loads;
    private final AdapterWaits waits;
    private final CandidateFilter filter;
    private final TargetPolicy plainPolicy;
    private final TargetPolicy enginePolicy;
    private final TargetPolicy reportedPlainPolicy;
    private final TargetPolicy reportedEnginePolicy;
    private final PlaceKeeper keeper;

    /**
     * Creates a chooser.
     *
     * @param targets the known targets
     * @param inFlight the requests in flight
     * @param loads the loads that targets have reported
     * @param residency the adapters and models resident at targets
     * @param placement knows the targets without a reachable controller
     * @param performance the measured slowdown and failure rate of targets
     * @param latencyModels the latency models of the services
     * @param coldTargetLimiter the rate limits of cold targets
     * @param permits how long requests wait for targets that limit their requests
     * @param domain the failure domain of this VM
     * @param timer the timer service
     * @param random draws candidates and breaks ties between targets
     */
    public TargetChooser(
            final TargetTable targets,
            final InFlightRequests inFlight,
            final ReportedLoads loads,
            final ResidencyTable residency,
            final Placement placement,
            final TargetPerformance performance,
            final EngineLatencyModels latencyModels,
            final ColdTargetLimiter coldTargetLimiter,
            final SendPermits permits,
            final FailureDomain domain,
            final TimerService timer,
            final RandomGenerator random) {
        waits = new AdapterWaits(timer);
        this.loads = Objects.requireNonNull(loads);
        filter = new CandidateFilter(targets, inFlight, coldTargetLimiter, permits, timer);
        final CandidateSelection selection = new SampledSelection(SAMPLE, random);
        final PlainEstimate plain = new PlainEstimate(performance, permits, false);
        final PlainEstimate reportedPlain = new PlainEstimate(performance, permits, true);
        final UsageView told = UsageView.of(inFlight);
        final EngineEstimate engines = new EngineEstimate(
                told,
                inFlight,
                residency,
                placement::uncontrolled,
                performance,
                latencyModels,
                permits,
                Optional.empty());
        final EngineEstimate reportedEngines = new EngineEstimate(
                told,
                inFlight,
                residency,
                placement::uncontrolled,
                performance,
                latencyModels,
                permits,
                Optional.of(waits));
        plainPolicy = new LeastCostPlainPolicy(inFlight, plain, domain, random);
        enginePolicy = new LeastCostEnginePolicy(engines);
        reportedPlainPolicy = new ReportedPlainPolicy(told, loads, reportedPlain, domain, selection);
        reportedEnginePolicy = new ReportedEnginePolicy(reportedEngines, loads, selection, timer);
        final HeldPlaces places = new HeldPlaces(inFlight, timer);
        final EngineEstimate enginesByPlaces = new EngineEstimate(
                places,
                inFlight,
                residency,
                placement::uncontrolled,
                performance,
                latencyModels,
                permits,
                Optional.of(waits));
        keeper = new PlaceKeeper(
                filter,
                places,
                new ReportedPlainPolicy(places, loads, reportedPlain, domain, CandidateSelection::leastCost),
                new ReportedEnginePolicy(enginesByPlaces, loads, CandidateSelection::leastCost, timer),
                waits,
                timer,
                random);
    }

    /**
     * Chooses a target.
     *
     * @param required what the request needs
     * @param excluded the targets that have refused or failed the request
     * @return the choice, empty if no target can take the request
     */
    public Optional<TargetChoice> choose(final TargetRequirements required, final Set<TargetId> excluded) {
        final ServiceSpec service = required.service();
        final boolean reported = loads.active(service.name());
        final Optional<TargetChoice> choice =
                policy(service, reported).choose(required, filter.candidates(service, excluded));
        return reported ? choice.map(each -> each.withKind(ChoiceKind.SAMPLED)) : choice;
    }

    /**
     * Describes the choice of a target for which the keeper of the places has granted a place.
     *
     * @param required what the request needs
     * @param target the target
     * @param estimateMillis the time to the first chunk that the keeper has estimated
     * @param excluded the targets that have refused or failed the request
     * @return the choice, empty if this VM knows that the target cannot take the request
     */
    public Optional<TargetChoice> granted(
            final TargetRequirements required,
            final TargetId target,
            final double estimateMillis,
            final Set<TargetId> excluded) {
        final List<TargetState> candidates = filter.candidates(required.service(), excluded).stream()
                .filter(state -> state.announcement().id().equals(target))
                .toList();
        return policy(required.service(), true)
                .choose(required, candidates)
                .map(choice -> choice.withEstimate(estimateMillis).withKind(ChoiceKind.GRANTED));
    }

    /**
     * Returns what is known of waits for adapters. It has an effect on services whose targets report their pace.
     *
     * @return the waits of this VM's requests, and the failed ones of requests with places that it has granted
     */
    public AdapterWaits adapterWaits() {
        return waits;
    }

    /**
     * Returns the keeper of places, for the services whose places this VM keeps.
     *
     * @return the keeper
     */
    public PlaceKeeper keeper() {
        return keeper;
    }

    private TargetPolicy policy(final ServiceSpec service, final boolean reported) {
        if (service.engine().isPresent()) {
            return reported ? reportedEnginePolicy : enginePolicy;
        }
        return reported ? reportedPlainPolicy : plainPolicy;
    }

    /**
     * Returns whether a target that was chosen earlier may still receive a request.
     *
     * @param service the service of the request
     * @param target the target
     * @return false if it must not receive requests, or is cold or back from a pause and its limit is reached
     */
    public boolean stillAccepts(final ServiceSpec service, final TargetId target) {
        return filter.stillAccepts(service, target);
    }

    /**
     * Returns when a service whose targets have paused may accept requests again.
     *
     * @param service the service
     * @param excluded the targets that have refused or failed the request
     * @return the time until the first of its other targets may accept one, empty if none of them pauses or comes back
     *     from a pause
     */
    public Optional<Duration> untilPauseEnds(final ServiceSpec service, final Set<TargetId> excluded) {
        return filter.untilPauseEnds(service, excluded);
    }

    /**
     * Returns when a service whose targets limit their requests can take one more.
     *
     * @param service the service
     * @return the time until the first of its targets has a permit, empty if none of them names a limit
     */
    public Optional<Duration> untilPermit(final ServiceSpec service) {
        return filter.limited(service).map(filter::expectedWait).min(Comparator.naturalOrder());
    }

    /**
     * Returns the targets of a service that limit their requests.
     *
     * @param service the service
     * @return their ids
     */
    public List<TargetId> limitedTargets(final ServiceSpec service) {
        return filter.limited(service).map(state -> state.announcement().id()).toList();
    }
}
