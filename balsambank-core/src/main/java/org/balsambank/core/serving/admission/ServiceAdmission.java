package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.balsambank.core.id.ServiceName;

/**
 * Decides for one service which share of the requests of each cell is admitted.
 *
 * <p>The wait is the smaller of two figures that are known independently of each other: the wait at the median target,
 * estimated from the requests in flight, and the pending units divided by the rate at which responses begin, which is
 * the mean time between admission and response (Little's law). The first alone depends on the latency model; the
 * second alone rises also when requests wait for adapters or for silent targets while most targets are free.
 *
 * <p>All VMs evaluate about the same sums, so each applies the same shares to its own requests. Rates are kept per
 * reachable VM: when a part of the fleet is cut off, its demand and its progress leave the sums together, and what was
 * learned before remains valid for the part that is left. Invariant: nothing is rejected while the wait is below 0.8 of
 * its target, or before the figures of a second are known. Confined to the decision loop.
 */
final class ServiceAdmission {
    private static final long UPDATE_NANOS = Duration.ofMillis(50).toNanos();
    private static final long WARM_UP_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * The wait to keep, as a share of the shortest latency objective. The queues of targets differ, so the median must
     * be well below the objective: in the load test with 7 VMs and a team that floods, the worth of the other teams was
     * 0.78 with 0.45 and is 0.92 with 0.35.
     */
    private static final double WAIT_SHARE_OF_OBJECTIVE = 0.35;

    private static final double MAX_WAIT_SHARE_OF_OBJECTIVE = 0.8;
    private static final double DEFAULT_OBJECTIVE_MILLIS = 1_000;
    private static final double MAX_WAIT_MILLIS = 10_000;
    private static final double MIN_WAIT_RATIO = 0.8;

    /** A wait that was the lowest for some time has other causes than load. */
    private static final double BASELINE_TOLERANCE = 1.5;

    private static final double BASELINE_GROWTH_SECONDS = 30;
    private static final double OBJECTIVE_GROWTH_SECONDS = 60;

    /**
     * The credit that a returning request needs, where a new one needs 1. Admitting all that return would leave nothing
     * for new requests, so all would be served after their retry, most of them late.
     */
    private static final double RETURNING_CREDIT = 0.5;

    private final ServiceName service;
    private final FleetDemand demand;
    private final FleetView fleet;
    private final Backlog backlog;
    private final RandomGenerator random;
    private final CapacityEstimate capacity;
    private final UsualRates usual;
    private final Map<DemandCell, Double> credits = new HashMap<>();
    private final long sinceNanos;
    private Map<DemandCell, Double> shares = Map.of();
    private AdmissionState state = AdmissionState.IDLE;
    private double objectiveMillis = Double.POSITIVE_INFINITY;
    private double baselineMillis = Double.POSITIVE_INFINITY;
    private long updatedNanos;

    /**
     * Creates an instance that admits everything.
     *
     * @param service the service
     * @param demand the fleet's demand
     * @param fleet the size of the fleet
     * @param backlog the wait at the targets
     * @param random the source of the first credits, so that VMs do not admit in step
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    ServiceAdmission(
            final ServiceName service,
            final FleetDemand demand,
            final FleetView fleet,
            final Backlog backlog,
            final RandomGenerator random,
            final long nowNanos) {
        this.service = Objects.requireNonNull(service);
        this.demand = Objects.requireNonNull(demand);
        this.fleet = Objects.requireNonNull(fleet);
        this.backlog = Objects.requireNonNull(backlog);
        this.random = Objects.requireNonNull(random);
        capacity = new CapacityEstimate(nowNanos);
        usual = new UsualRates(nowNanos);
        sinceNanos = nowNanos;
        updatedNanos = nowNanos;
    }

    /** Records the latency objective of a request. */
    void objective(final long millis) {
        if (millis > 0) {
            objectiveMillis = Math.min(objectiveMillis, millis);
        }
    }

    /** Evaluates the fleet's sums, unless that was done a moment ago. */
    void update(final long nowNanos) {
        if (nowNanos - updatedNanos < UPDATE_NANOS) {
            return;
        }
        final double seconds = (nowNanos - updatedNanos) / 1e9;
        updatedNanos = nowNanos;
        final Map<DemandCell, Double> offered = new HashMap<>();
        final int vms = Math.max(1, fleet.reachableVms());
        demand.demand(service, Set.of()).forEach((cell, rates) -> offered.put(cell, rates.offered() / vms));
        final Map<Integer, Double> teams = new HashMap<>();
        offered.forEach((cell, units) -> teams.merge(cell.team(), units, Double::sum));
        usual.update(teams, nowNanos);
        final double total =
                teams.values().stream().mapToDouble(Double::doubleValue).sum();
        final ServiceProgress progress = demand.progress(service, Set.of());
        final double waitMillis = Math.min(backlog.medianWaitMillis(service), meanWaitMillis(progress));
        final double targetMillis = targetMillis(waitMillis, seconds);
        final double ratio = waitMillis / targetMillis;
        if (nowNanos - sinceNanos < WARM_UP_NANOS) {
            return;
        }
        final double limit = capacity.update(progress.begun() / vms, ratio, nowNanos);
        final boolean rejecting = ratio >= MIN_WAIT_RATIO && total > limit;
        state = new AdmissionState(total * vms, progress.begun(), waitMillis, targetMillis, limit * vms, rejecting);
        shares = rejecting ? FairShares.of(offered, usual.rates(), limit) : Map.of();
        credits.keySet().retainAll(shares.keySet());
    }

    private static double meanWaitMillis(final ServiceProgress progress) {
        if (progress.pending() <= 0) {
            return 0;
        }
        return Math.min(MAX_WAIT_MILLIS, progress.pending() / Math.max(1e-3, progress.begun()) * 1e3);
    }

    private double targetMillis(final double waitMillis, final double seconds) {
        baselineMillis = Math.min(waitMillis, baselineMillis * Math.exp(seconds / BASELINE_GROWTH_SECONDS));
        objectiveMillis *= Math.exp(seconds / OBJECTIVE_GROWTH_SECONDS);
        final double objective = Double.isInfinite(objectiveMillis) ? DEFAULT_OBJECTIVE_MILLIS : objectiveMillis;
        return Math.min(
                MAX_WAIT_SHARE_OF_OBJECTIVE * objective,
                Math.max(WAIT_SHARE_OF_OBJECTIVE * objective, BASELINE_TOLERANCE * baselineMillis));
    }

    /** Returns the share of the requests of a cell that is admitted. */
    double share(final DemandCell cell) {
        final Double share = shares.get(cell);
        return share == null ? shares.getOrDefault(new DemandCell(DemandCell.OTHERS, cell.priority()), 1.0) : share;
    }

    /**
     * Decides about one request.
     *
     * @param cell the cell of the request
     * @param returning whether the caller was rejected before
     * @return whether it is admitted
     */
    boolean admit(final DemandCell cell, final boolean returning) {
        final double share = share(cell);
        if (share >= 1) {
            return true;
        }
        final double credit = credits.getOrDefault(cell, random.nextDouble()) + share;
        final boolean admitted = credit >= (returning ? RETURNING_CREDIT : 1);
        credits.put(cell, admitted ? credit - 1 : credit);
        return admitted;
    }

    /** Returns the last evaluation. */
    AdmissionState state() {
        return state;
    }
}
