package org.balsambank.daemon;

import java.util.List;
import java.util.SplittableRandom;

import io.micrometer.core.instrument.MeterRegistry;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.target.LoadSlotLender;
import org.balsambank.core.target.LocalLoadSlots;
import org.balsambank.core.target.OwnedTargetGate;
import org.balsambank.core.target.PeerCrashTrials;
import org.balsambank.core.target.PeerLoadSlots;
import org.balsambank.core.target.PoisonRequestRegistry;
import org.balsambank.core.target.RendezvousTargetSelector;
import org.balsambank.core.target.TargetSelector;
import org.balsambank.core.time.TimerService;

/**
 * The components of a VM that select targets, admit requests to them and load their adapters.
 *
 * <p>Immutable; the components are confined to the decision loop.
 *
 * @param gate admits requests to the targets owned by this VM
 * @param lender lends the load slots owned by this VM
 * @param trials shares reports of target losses with the other VMs
 * @param selector selects targets for the callers of this VM
 */
record TargetComponents(OwnedTargetGate gate, LoadSlotLender lender, PeerCrashTrials trials, TargetSelector selector) {
    /**
     * Creates the components without starting them, and registers their peer call handlers.
     *
     * @param self this VM
     * @param clients the clients of the external services
     * @param ownership the owners of the targets
     * @param catalogues the source of the catalogue in force
     * @param timer the clock and scheduler
     * @param invariants the invariant monitor
     * @param registry the meter registry
     * @return the components
     */
    static TargetComponents create(
            final VmEntry self,
            final ExternalClients clients,
            final Ownership ownership,
            final CatalogueSource catalogues,
            final TimerService timer,
            final InvariantMonitor invariants,
            final MeterRegistry registry) {
        final PoisonRequestRegistry poison = new PoisonRequestRegistry(timer);
        final PeerCrashTrials trials = new PeerCrashTrials(
                self.id(),
                ownership,
                clients.peers(),
                clients.vmDirectory(),
                timer,
                poison,
                clients.store(),
                System::currentTimeMillis);
        trials.register();
        final LoadSlotLender lender = new LoadSlotLender(ownership, new LocalLoadSlots(timer, invariants));
        lender.register(clients.peers());
        final OwnedTargetGate gate = new OwnedTargetGate(
                ownership,
                catalogues,
                clients.targets(),
                timer,
                new PeerLoadSlots(ownership, clients.peers(), timer),
                poison,
                trials,
                invariants,
                registry);
        return new TargetComponents(
                gate,
                lender,
                trials,
                new RendezvousTargetSelector(timer, self.failureDomain(), new SplittableRandom()));
    }

    /**
     * Returns the components that need supervision.
     *
     * @return the supervised components
     */
    List<Component> supervised() {
        return List.of(gate, lender, trials);
    }
}
