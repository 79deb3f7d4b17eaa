package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.time.TimerService;

/**
 * Admits requests of overloaded services in fair shares, and rejects the others before anything is sent.
 *
 * <p>Each VM decides for its own callers from the fleet's sums ({@link FleetDemand}). For a service that is not active,
 * everything is admitted and nothing is recorded. Invariant: a caller is told a time to retry that it honours, at most
 * a third of the time that it has left. Confined to the decision loop.
 */
public final class FairAdmission {
    private static final int MAX_REMEMBERED = 4_096;
    private static final long REMEMBERED_NANOS = Duration.ofSeconds(5).toNanos();
    private static final double MIN_RETRY_MILLIS = 50;
    private static final double MIN_SPREAD_MILLIS = 300;
    private static final double SPREAD_MILLIS = 2_000;
    private static final double HONOURED_SHARE = 1.0 / 3;

    private final FleetDemand demand;
    private final FleetView fleet;
    private final Backlog backlog;
    private final TimerService timer;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final AdmissionMetrics metrics;
    private final Map<ServiceName, ServiceAdmission> services = new HashMap<>();
    private final Map<Fingerprint, Long> rejected = new LinkedHashMap<>();

    /**
     * Creates an instance that has admitted nothing.
     *
     * @param demand the fleet's demand
     * @param fleet the size of the fleet
     * @param backlog the wait at the targets
     * @param timer the timer service
     * @param random the source of the spread of retries
     * @param log gets a line for each decision of an overloaded service
     * @param metrics counts rejected requests
     */
    public FairAdmission(
            final FleetDemand demand,
            final FleetView fleet,
            final Backlog backlog,
            final TimerService timer,
            final RandomGenerator random,
            final DecisionLog log,
            final AdmissionMetrics metrics) {
        this.demand = Objects.requireNonNull(demand);
        this.fleet = Objects.requireNonNull(fleet);
        this.backlog = Objects.requireNonNull(backlog);
        this.timer = Objects.requireNonNull(timer);
        this.random = Objects.requireNonNull(random);
        this.log = Objects.requireNonNull(log);
        this.metrics = Objects.requireNonNull(metrics);
    }

    /**
     * Decides about a request that has arrived.
     *
     * @param request the request
     * @return whether it is admitted
     */
    public AdmissionDecision decide(final AdmissionRequest request) {
        final ServiceName name = request.service();
        if (!demand.active(name)) {
            services.remove(name);
            return AdmissionDecision.NOT_ACTIVE;
        }
        final long now = timer.nanoTime();
        final DemandCell cell = DemandCell.of(request.team(), request.priority());
        demand.offered(name, cell, request.units());
        final ServiceAdmission service = services.computeIfAbsent(
                name, ignored -> new ServiceAdmission(name, demand, fleet, backlog, random, now));
        service.objective(request.objectiveMillis());
        service.update(now);
        final boolean returning = returning(request.fingerprint(), now);
        final boolean admitted = service.admit(cell, returning);
        metrics.share(name, request.team(), service.share(cell));
        final Optional<Duration> retryAfter =
                admitted ? Optional.empty() : Optional.of(retryAfter(request, service.state(), service.share(cell)));
        if (service.state().rejecting()) {
            log(request, service, cell, returning, retryAfter);
        }
        if (!admitted) {
            remember(request.fingerprint(), now);
            metrics.rejected("overload", request.team());
            return new AdmissionDecision(Optional.empty(), retryAfter);
        }
        return new AdmissionDecision(
                Optional.of(new AdmittedRequest(demand.admitted(name, cell, request.units()))), Optional.empty());
    }

    /**
     * Returns whether more is offered to a service than its targets finish in time.
     *
     * @param service the service
     * @return false if fair admission is not active for it
     */
    public boolean overloaded(final ServiceName service) {
        final ServiceAdmission admission = services.get(service);
        return admission != null && demand.active(service) && admission.state().rejecting();
    }

    /**
     * Counts a request of an overloaded service that is rejected because its estimate is too long.
     *
     * @param team its team
     */
    public void rejectedByEstimate(final Optional<TeamId> team) {
        metrics.rejected("estimate", team);
    }

    /**
     * Returns the longest time to retry that a caller honours.
     *
     * @param remaining the time until the deadline
     * @return a third of it
     */
    public static Duration latestRetry(final Duration remaining) {
        return Duration.ofMillis((long) Math.max(MIN_RETRY_MILLIS, remaining.toMillis() * HONOURED_SHARE));
    }

    private boolean returning(final Fingerprint fingerprint, final long now) {
        final Long since = rejected.remove(fingerprint);
        return since != null && now - since <= REMEMBERED_NANOS;
    }

    private void remember(final Fingerprint fingerprint, final long now) {
        rejected.put(fingerprint, now);
        if (rejected.size() > MAX_REMEMBERED) {
            rejected.remove(rejected.keySet().iterator().next());
        }
    }

    /** Spreads retries: the longer the queue and the smaller the share, the later; never later than is honoured. */
    private Duration retryAfter(final AdmissionRequest request, final AdmissionState state, final double share) {
        final double latest = latestRetry(request.remaining()).toMillis();
        final double earliest =
                Math.min(latest / 2, Math.max(MIN_RETRY_MILLIS, state.waitMillis() - state.targetMillis()));
        final double spread = Math.min(latest - earliest, MIN_SPREAD_MILLIS + SPREAD_MILLIS * (1 - Math.min(1, share)));
        return Duration.ofMillis(Math.round(earliest + spread * random.nextDouble()));
    }

    private void log(
            final AdmissionRequest request,
            final ServiceAdmission service,
            final DemandCell cell,
            final boolean returning,
            final Optional<Duration> retryAfter) {
        final AdmissionState state = service.state();
        log.line("admission")
                .with("request", request.id().value())
                .with("service", request.service().value())
                .with("team", request.team().map(TeamId::value).orElse(""))
                .with("priority", request.priority())
                .with("units", Math.round(request.units()))
                .with("outcome", retryAfter.isPresent() ? "rejected" : "admitted")
                .with("retry_after_ms", retryAfter.map(Duration::toMillis).orElse(0L))
                .with("returning", String.valueOf(returning))
                .with("share_percent", Math.round(100 * service.share(cell)))
                .with("offered_per_s", Math.round(state.offered()))
                .with("limit_per_s", Math.round(state.limit()))
                .with("begun_per_s", Math.round(state.begun()))
                .with("wait_ms", Math.round(state.waitMillis()))
                .with("target_wait_ms", Math.round(state.targetMillis()))
                .with("oldest_report_ms", demand.oldestReportMillis(request.service()))
                .with("vms", fleet.vms())
                .with("reachable_vms", fleet.reachableVms())
                .write();
    }

    /** An admitted request. Calling a method again has no effect. Confined to the decision loop. */
    public final class AdmittedRequest {
        private final FleetDemand.Admitted admitted;

        private AdmittedRequest(final FleetDemand.Admitted admitted) {
            this.admitted = admitted;
        }

        /** Records that it is dispatched to a target. */
        public void dispatched() {
            admitted.dispatched();
        }

        /** Records that its response begins. */
        public void responseBegun() {
            admitted.begun(timer.nanoTime());
        }

        /** Records its end. */
        public void end() {
            admitted.end();
        }
    }
}
