package org.balsambank.core.serving.choice;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.serving.admission.Backlog;
import org.balsambank.core.serving.admission.FleetView;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.serving.target.TargetTable;

/**
 * Estimates the wait at the targets of a service that runs models from the requests in flight.
 *
 * <p>The median does not depend on single targets that are silent, slow, or hold an adapter that many ask for: as long
 * as half of the targets are free, the service is not overloaded. The requests of VMs that are not reached are assumed
 * to be as many as those of the others. Confined to the decision loop.
 */
public final class TargetBacklog implements Backlog {
    private final TargetTable targets;
    private final InFlightRequests inFlight;
    private final EngineLatencyModels latencyModels;
    private final TargetPerformance performance;
    private final FleetView fleet;

    /**
     * Creates an instance.
     *
     * @param targets the known targets
     * @param inFlight the requests in flight
     * @param latencyModels the latency models of the services
     * @param performance the measured slowdown of targets
     * @param fleet the size of the fleet
     */
    public TargetBacklog(
            final TargetTable targets,
            final InFlightRequests inFlight,
            final EngineLatencyModels latencyModels,
            final TargetPerformance performance,
            final FleetView fleet) {
        this.targets = Objects.requireNonNull(targets);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.latencyModels = Objects.requireNonNull(latencyModels);
        this.performance = Objects.requireNonNull(performance);
        this.fleet = Objects.requireNonNull(fleet);
    }

    @Override
    public double medianWaitMillis(final ServiceName service) {
        final Collection<TargetState> usable = targets.usable(service);
        if (usable.isEmpty()) {
            return 0;
        }
        final double scale = Math.max(1, (double) fleet.vms() / Math.max(1, fleet.reachableVms()));
        final double[] waits = usable.stream()
                .mapToDouble(state -> waitMillis(service, state.announcement(), scale))
                .sorted()
                .toArray();
        return waits[(waits.length - 1) / 2];
    }

    private double waitMillis(final ServiceName service, final TargetAnnouncement target, final double scale) {
        final InFlightRequests.Usage usage = inFlight.total(target.id());
        final double slowdown = performance.slowdown(target.id());
        final InFlightRequests.Usage scaled = new InFlightRequests.Usage(
                (int) Math.round(usage.requests() * scale), Math.round(usage.pendingPromptTokens() * scale), Set.of());
        return latencyModels.of(service).timeToFirstChunkMillis(scaled, 0) * slowdown;
    }
}
