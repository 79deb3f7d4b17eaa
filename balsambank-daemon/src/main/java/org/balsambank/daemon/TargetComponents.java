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
 * The parts that decide about targets on a VM.
 *
 * <p>Immutable; the parts are confined to the decision loop.
 *
 * @param gate admits to the targets of this VM
 * @param lender lends load slots if this VM owns them
 * @param trials shares the losses of targets
 * @param selector chooses targets for the callers of this VM
 */
record TargetComponents(OwnedTargetGate gate, LoadSlotLender lender, PeerCrashTrials trials, TargetSelector selector) {
    /**
     * Creates the parts and answers the calls of other VMs. Nothing runs yet.
     *
     * @param self this VM
     * @param outside the clients
     * @param ownership tells which targets this VM decides for
     * @param catalogues gives the configuration in force
     * @param timer gives the time
     * @param invariants the monitor of invariants
     * @param registry holds the meters
     * @return the parts
     */
    static TargetComponents create(
            final VmEntry self,
            final ExternalClients outside,
            final Ownership ownership,
            final CatalogueSource catalogues,
            final TimerService timer,
            final InvariantMonitor invariants,
            final MeterRegistry registry) {
        final PoisonRequestRegistry poison = new PoisonRequestRegistry(timer);
        final PeerCrashTrials trials =
                new PeerCrashTrials(self.id(), ownership, outside.peers(), outside.roster(), timer, poison);
        trials.register();
        final LoadSlotLender lender = new LoadSlotLender(ownership, new LocalLoadSlots(timer, invariants));
        lender.register(outside.peers());
        final OwnedTargetGate gate = new OwnedTargetGate(
                ownership,
                catalogues,
                outside.targets(),
                timer,
                new PeerLoadSlots(ownership, outside.peers(), timer),
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
     * Returns the parts that run.
     *
     * @return the parts
     */
    List<Component> running() {
        return List.of(gate, lender, trials);
    }
}
