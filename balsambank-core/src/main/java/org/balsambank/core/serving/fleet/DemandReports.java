package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.admission.DemandCell;
import org.balsambank.core.serving.admission.DemandRates;
import org.balsambank.core.serving.admission.FleetDemand;
import org.balsambank.core.serving.admission.ServiceProgress;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.ServiceDemand;

/**
 * Adds the demand for services to digests, and takes it over from received ones.
 *
 * <p>The progress of a service is some 20 bytes and goes with every digest. The demand is up to some 300 bytes, and
 * goes over each edge every {@value #DEMAND_MILLIS} ms. Confined to the decision loop.
 */
final class DemandReports {
    private static final long DEMAND_MILLIS = 380;
    private static final long DEMAND_NANOS = Duration.ofMillis(DEMAND_MILLIS).toNanos();

    private final FleetDemand demand;
    private final TimerService timer;
    private final Map<VmId, Long> sentNanos = new HashMap<>();

    /**
     * Creates an instance that has sent nothing.
     *
     * @param demand the fleet's demand
     * @param timer the timer service
     */
    DemandReports(final FleetDemand demand, final TimerService timer) {
        this.demand = Objects.requireNonNull(demand);
        this.timer = Objects.requireNonNull(timer);
    }

    /** Adds the sums over this side of an edge. */
    void addTo(final Digest.Builder digest, final VmId other, final boolean full, final Set<VmId> excluded) {
        final long now = timer.nanoTime();
        final Long sent = sentNanos.get(other);
        final boolean due = full || sent == null || now - sent >= DEMAND_NANOS;
        if (due) {
            sentNanos.put(other, now);
        }
        for (final ServiceName service : demand.services(excluded)) {
            final ServiceProgress progress = demand.progress(service, excluded);
            digest.addProgress(org.balsambank.protocol.generated.serving.ServiceProgress.newBuilder()
                    .setService(service.value())
                    .setPending(Math.round(progress.pending()))
                    .setBegun(Math.round(progress.begun())));
            if (due) {
                digest.addDemands(encode(service, FleetDemand.bounded(demand.demand(service, excluded))));
            }
        }
    }

    private static ServiceDemand encode(final ServiceName service, final Map<DemandCell, DemandRates> cells) {
        final ServiceDemand.Builder encoded = ServiceDemand.newBuilder().setService(service.value());
        cells.forEach((cell, rates) -> encoded.addTeams(cell.team())
                .addPriorities(cell.priority())
                .addOffered((int) Math.round(rates.offered()))
                .addAdmitted((int) Math.round(rates.admitted())));
        return encoded.build();
    }

    /** Takes over what a digest reports; lists of different lengths count as far as the shortest goes. */
    void apply(final VmId other, final Digest digest) {
        for (final ServiceDemand each : digest.getDemandsList()) {
            final int cells = Math.min(
                    Math.min(each.getTeamsCount(), each.getPrioritiesCount()),
                    Math.min(each.getOfferedCount(), each.getAdmittedCount()));
            final Map<DemandCell, DemandRates> rates = new HashMap<>();
            for (int i = 0; i < cells; i++) {
                rates.put(
                        new DemandCell(each.getTeams(i), each.getPriorities(i)),
                        new DemandRates(each.getOffered(i), each.getAdmitted(i)));
            }
            demand.applyDemand(other, new ServiceName(each.getService()), rates);
        }
        digest.getProgressList()
                .forEach(each -> demand.applyProgress(
                        other,
                        new ServiceName(each.getService()),
                        new ServiceProgress(each.getPending(), each.getBegun())));
    }

    /** Removes what was received over an edge that is dropped. */
    void removePeer(final VmId other) {
        demand.removePeer(other);
        sentNanos.remove(other);
    }
}
