package org.balsambank.daemon;

import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.function.Supplier;

import io.micrometer.core.instrument.MeterRegistry;
import org.balsambank.core.catalogue.store.CatalogueGossip;
import org.balsambank.core.catalogue.store.CatalogueReplica;
import org.balsambank.core.catalogue.store.CatalogueRepository;
import org.balsambank.core.catalogue.store.Freshness;
import org.balsambank.core.catalogue.store.HeadWatcher;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;

/**
 * The components that keep the catalogue of a VM up to date.
 *
 * <p>Immutable; the components are confined to the decision loop.
 *
 * @param replica the catalogue in force on this VM
 * @param repository the catalogue in the key-value service
 * @param gossip distributes new revisions between the VMs
 * @param watcher watches the key-value service for new revisions
 * @param freshness tracks whether this VM is isolated
 */
record CatalogueComponents(
        CatalogueReplica replica,
        CatalogueRepository repository,
        CatalogueGossip gossip,
        HeadWatcher watcher,
        Freshness freshness) {
    /**
     * Creates the components without starting them.
     *
     * @param self this VM
     * @param clients the clients of the external services
     * @param vms returns the last known VMs
     * @param timer the clock and scheduler
     * @param invariants checks that the revision never decreases
     * @param registry the meter registry
     * @return the components
     */
    static CatalogueComponents create(
            final VmId self,
            final ExternalClients clients,
            final Supplier<List<VmEntry>> vms,
            final TimerService timer,
            final InvariantMonitor invariants,
            final MeterRegistry registry) {
        final CatalogueReplica replica = new CatalogueReplica(invariants, registry);
        final Freshness freshness = new Freshness(timer);
        return new CatalogueComponents(
                replica,
                new CatalogueRepository(
                        clients.store(), timer, () -> UUID.randomUUID().toString()),
                new CatalogueGossip(self, clients.peers(), timer, vms, replica, freshness, new Random(), registry),
                new HeadWatcher(self, clients.store(), timer, vms, replica, freshness),
                freshness);
    }

    /**
     * Returns the components that need supervision.
     *
     * @return the supervised components
     */
    List<Component> supervised() {
        return List.of(
                DisposableComponent.of("catalogue-spread", gossip::start, gossip),
                DisposableComponent.of("catalogue-watch", watcher::start, watcher));
    }
}
