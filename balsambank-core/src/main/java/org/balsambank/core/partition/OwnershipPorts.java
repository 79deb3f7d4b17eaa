package org.balsambank.core.partition;

import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.MeterRegistry;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.VmList;
import org.balsambank.core.time.TimerService;

/**
 * The external dependencies of partition ownership.
 *
 * <p>Immutable; the components are confined to the decision loop unless they state otherwise.
 *
 * @param store the key-value service
 * @param vms the VM list
 * @param peers the connections to the other VMs
 * @param catalogue the VMs and failure domains that are out of service
 * @param timer the clock and timers
 * @param random the source of jitter for periodic work
 * @param invariants checks that epochs do not decrease
 * @param registry the registry of the metrics
 */
public record OwnershipPorts(
        KeyValueStore store,
        VmList vms,
        PeerTransport peers,
        CatalogueSource catalogue,
        TimerService timer,
        RandomGenerator random,
        InvariantMonitor invariants,
        MeterRegistry registry) {}
