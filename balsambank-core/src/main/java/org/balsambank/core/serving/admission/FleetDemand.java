package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.VmId;
import org.balsambank.core.time.TimerService;

/**
 * The fleet's demand for each service and its progress, from this VM and from the VMs at its edges of the tree.
 *
 * <p>A unit is a prompt token. Each edge reports sums over the
 * VMs on its other side, so the sums of this VM and all edges are those of the part of the fleet that it reaches.
 * Reports replace earlier ones, so a repeated or lost report does no lasting harm. Invariants: at most
 * {@value #MAX_CELLS} cells of a service are reported, the rest as one cell for each priority; no demand of a service
 * for which fair admission is not active is recorded. Confined to the decision loop.
 */
public final class FleetDemand {
    /** Bounds a report to some 300 bytes. */
    static final int MAX_CELLS = 24;

    private static final int MAX_SERVICES = 32;

    /** A service that a VM has not reported for this long is not active there any more. */
    private static final long REPORT_NANOS = Duration.ofSeconds(3).toNanos();

    /** Long enough to average over the few requests of a small team, short enough to follow a burst. */
    private static final Duration DEMAND_DECAY = Duration.ofMillis(600);

    private static final Duration BEGUN_DECAY = Duration.ofMillis(500);

    private final TimerService timer;
    private final Predicate<ServiceName> active;
    private final Map<ServiceName, Local> own = new HashMap<>();
    private final Map<VmId, Map<ServiceName, Report>> reports = new HashMap<>();

    /**
     * Creates an instance without demand.
     *
     * @param timer the timer service
     * @param active whether fair admission is active for a service
     */
    public FleetDemand(final TimerService timer, final Predicate<ServiceName> active) {
        this.timer = Objects.requireNonNull(timer);
        this.active = Objects.requireNonNull(active);
    }

    /** Returns whether fair admission is active for a service. */
    boolean active(final ServiceName service) {
        return active.test(service);
    }

    /** Records a request that arrives at this VM. */
    void offered(final ServiceName service, final DemandCell cell, final double units) {
        local(service).rates(cell, timer.nanoTime()).offered.add(units, timer.nanoTime());
    }

    /** Records a request that this VM admits; the caller ends it. */
    Admitted admitted(final ServiceName service, final DemandCell cell, final double units) {
        local(service).rates(cell, timer.nanoTime()).admitted.add(units, timer.nanoTime());
        return new Admitted(local(service), units);
    }

    private Local local(final ServiceName service) {
        return own.computeIfAbsent(service, ignored -> new Local(timer.nanoTime()));
    }

    /**
     * Returns the services of which there are figures to report.
     *
     * @param excluded the VMs whose reports are left out
     * @return the services for which fair admission is active at this VM or at one that has reported lately
     */
    public Set<ServiceName> services(final Set<VmId> excluded) {
        final Set<ServiceName> services = new HashSet<>(own.keySet());
        services.removeIf(active.negate());
        reports.forEach((vm, each) -> {
            if (!excluded.contains(vm)) {
                each.values().removeIf(report -> timer.nanoTime() - report.heardNanos > REPORT_NANOS);
                services.addAll(each.keySet());
            }
        });
        return services;
    }

    /**
     * Returns the demand for a service, without the reports of some VMs.
     *
     * @param service the service
     * @param excluded the VMs whose reports are left out
     * @return the rates of each cell
     */
    public Map<DemandCell, DemandRates> demand(final ServiceName service, final Set<VmId> excluded) {
        final Map<DemandCell, DemandRates> sums = new HashMap<>();
        final long now = timer.nanoTime();
        final Local local = own.get(service);
        if (local != null) {
            local.cells.forEach((cell, rates) -> sums.put(cell, rates.at(now)));
        }
        reports.forEach((vm, each) -> {
            if (!excluded.contains(vm) && each.containsKey(service)) {
                each.get(service).demand.forEach((cell, rates) -> sums.merge(cell, rates, DemandRates::plus));
            }
        });
        sums.values().removeIf(rates -> rates.offered() < 1);
        return sums;
    }

    /**
     * Returns the progress of a service, without the reports of some VMs.
     *
     * @param service the service
     * @param excluded the VMs whose reports are left out
     * @return the sums
     */
    public ServiceProgress progress(final ServiceName service, final Set<VmId> excluded) {
        final Local local = own.get(service);
        ServiceProgress sum = local == null
                ? ServiceProgress.NONE
                : new ServiceProgress(local.pending, local.begun.perSecond(timer.nanoTime()));
        for (final Map.Entry<VmId, Map<ServiceName, Report>> each : reports.entrySet()) {
            final Report report = each.getValue().get(service);
            if (report != null && !excluded.contains(each.getKey())) {
                sum = sum.plus(report.progress);
            }
        }
        return sum;
    }

    /**
     * Returns the demand to report, bounded in size: the largest cells, and the sum of the others by priority.
     *
     * @param demand the demand
     * @return at most {@value #MAX_CELLS} cells and one more for each priority
     */
    public static Map<DemandCell, DemandRates> bounded(final Map<DemandCell, DemandRates> demand) {
        if (demand.size() <= MAX_CELLS) {
            return demand;
        }
        final Map<DemandCell, DemandRates> result = new HashMap<>();
        final List<Map.Entry<DemandCell, DemandRates>> largestFirst = demand.entrySet().stream()
                .sorted(Comparator.comparingDouble(each -> -each.getValue().offered()))
                .toList();
        for (int i = 0; i < largestFirst.size(); i++) {
            final DemandCell cell = largestFirst.get(i).getKey();
            final DemandCell reported = i < MAX_CELLS ? cell : new DemandCell(DemandCell.OTHERS, cell.priority());
            result.merge(reported, largestFirst.get(i).getValue(), DemandRates::plus);
        }
        return result;
    }

    /**
     * Replaces the demand that a VM reports.
     *
     * @param vm the VM
     * @param service the service
     * @param demand the sums over its side of the tree
     */
    public void applyDemand(final VmId vm, final ServiceName service, final Map<DemandCell, DemandRates> demand) {
        final Report report = report(vm, service);
        if (report != null) {
            report.demand = Map.copyOf(bounded(demand));
            report.demandNanos = timer.nanoTime();
            report.heardNanos = timer.nanoTime();
        }
    }

    /**
     * Replaces the progress that a VM reports.
     *
     * @param vm the VM
     * @param service the service
     * @param progress the sums over its side of the tree
     */
    public void applyProgress(final VmId vm, final ServiceName service, final ServiceProgress progress) {
        final Report report = report(vm, service);
        if (report != null) {
            report.progress = progress;
            report.heardNanos = timer.nanoTime();
        }
    }

    private Report report(final VmId vm, final ServiceName service) {
        final Map<ServiceName, Report> known = reports.computeIfAbsent(vm, ignored -> new HashMap<>());
        if (!known.containsKey(service) && known.size() >= MAX_SERVICES) {
            return null;
        }
        return known.computeIfAbsent(service, ignored -> new Report(timer.nanoTime()));
    }

    /**
     * Removes everything that a VM has reported.
     *
     * @param vm the VM
     */
    public void removePeer(final VmId vm) {
        reports.remove(vm);
    }

    /** Returns the age of the oldest report that the sums of a service contain, 0 without reports. */
    long oldestReportMillis(final ServiceName service) {
        long oldest = 0;
        for (final Map<ServiceName, Report> each : reports.values()) {
            final Report report = each.get(service);
            if (report != null) {
                oldest = Math.max(oldest, timer.nanoTime() - report.demandNanos);
            }
        }
        return Duration.ofNanos(oldest).toMillis();
    }

    /** An admitted request. Calling a method again has no effect. Confined to the decision loop. */
    public static final class Admitted {
        private final Local local;
        private final double units;
        private boolean dispatched;
        private boolean counted = true;

        private Admitted(final Local local, final double units) {
            this.local = local;
            this.units = units;
        }

        /** Records that it is dispatched. A wait before, for an adapter for example, says nothing of the load. */
        void dispatched() {
            if (counted && !dispatched) {
                dispatched = true;
                local.pending += units;
            }
        }

        /** Records that its response begins. */
        void begun(final long nowNanos) {
            if (counted) {
                local.begun.add(units, nowNanos);
            }
            end();
        }

        /** Records its end. */
        void end() {
            if (counted) {
                counted = false;
                local.pending = dispatched ? Math.max(0, local.pending - units) : local.pending;
            }
        }
    }

    /** The figures of this VM for one service. */
    private static final class Local {
        private static final int MAX_LOCAL_CELLS = 512;

        private final Map<DemandCell, CellRates> cells = new HashMap<>();
        private final DecayedRate begun;
        private double pending;

        private Local(final long nowNanos) {
            begun = new DecayedRate(BEGUN_DECAY, nowNanos);
        }

        private CellRates rates(final DemandCell cell, final long nowNanos) {
            if (cells.size() >= MAX_LOCAL_CELLS) {
                cells.values().removeIf(each -> each.at(nowNanos).offered() < 1);
            }
            final DemandCell kept = cells.containsKey(cell) || cells.size() < MAX_LOCAL_CELLS
                    ? cell
                    : new DemandCell(DemandCell.OTHERS, cell.priority());
            return cells.computeIfAbsent(kept, ignored -> new CellRates(nowNanos));
        }
    }

    /** The rates of one cell at this VM. */
    private static final class CellRates {
        private final DecayedRate offered;
        private final DecayedRate admitted;

        private CellRates(final long nowNanos) {
            offered = new DecayedRate(DEMAND_DECAY, nowNanos);
            admitted = new DecayedRate(DEMAND_DECAY, nowNanos);
        }

        private DemandRates at(final long nowNanos) {
            return new DemandRates(offered.perSecond(nowNanos), admitted.perSecond(nowNanos));
        }
    }

    /** The newest report of one VM for one service. */
    private static final class Report {
        private Map<DemandCell, DemandRates> demand = Map.of();
        private ServiceProgress progress = ServiceProgress.NONE;
        private long demandNanos;
        private long heardNanos;

        private Report(final long nowNanos) {
            demandNanos = nowNanos;
            heardNanos = nowNanos;
        }
    }
}
