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
 * What the ownership meets the outside through.
 *
 * <p>Immutable; the parts are confined to the decision loop unless they say otherwise.
 *
 * @param store the key-value service
 * @param vms the VM list
 * @param peers the links to the other VMs
 * @param catalogue tells which VMs and failure domains are out
 * @param timer gives the time
 * @param random spreads what all VMs do
 * @param invariants asserts that epochs do not go down
 * @param registry counts what happens
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
