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
 * The parts that keep the catalogue in force on a VM.
 *
 * <p>Immutable; the parts are confined to the decision loop.
 *
 * @param replica the configuration in force
 * @param repository the configuration in the key-value service
 * @param spread passes news on between VMs
 * @param watcher watches the key-value service
 * @param freshness knows whether this VM is cut off
 */
record CatalogueComponents(
        CatalogueReplica replica,
        CatalogueRepository repository,
        CatalogueGossip spread,
        HeadWatcher watcher,
        Freshness freshness) {
    /**
     * Creates the parts. Nothing runs yet.
     *
     * @param self this VM
     * @param outside the clients
     * @param vms gives the VMs as last known
     * @param timer gives the time
     * @param invariants watches the revision
     * @param registry counts messages
     * @return the parts
     */
    static CatalogueComponents create(
            final VmId self,
            final ExternalClients outside,
            final Supplier<List<VmEntry>> vms,
            final TimerService timer,
            final InvariantMonitor invariants,
            final MeterRegistry registry) {
        final CatalogueReplica replica = new CatalogueReplica(invariants, registry);
        final Freshness freshness = new Freshness(timer);
        return new CatalogueComponents(
                replica,
                new CatalogueRepository(
                        outside.store(), timer, () -> UUID.randomUUID().toString()),
                new CatalogueGossip(self, outside.peers(), timer, vms, replica, freshness, new Random(), registry),
                new HeadWatcher(self, outside.store(), timer, vms, replica, freshness),
                freshness);
    }

    /**
     * Returns the parts that run.
     *
     * @return the parts
     */
    List<Component> running() {
        return List.of(
                DisposableComponent.of("catalogue-spread", spread::start, spread),
                DisposableComponent.of("catalogue-watch", watcher::start, watcher));
    }
}
