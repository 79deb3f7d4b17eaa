package org.balsambank.core.request;

import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.idempotency.IdempotencyGate;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.target.TargetSelector;
import org.balsambank.core.team.RateGate;
import org.balsambank.core.time.TimerService;

/**
 * What the entry side of a request needs from the other parts of its VM.
 *
 * <p>Immutable; the parts are confined to the decision loop.
 *
 * @param catalogues gives the configuration in force
 * @param authenticator checks keys
 * @param rates admits within the rate of teams
 * @param idempotency lets keyed calls run at most once
 * @param selector chooses targets
 * @param ownership tells which VM decides for a target
 * @param peers the links to the other VMs
 * @param timer gives the time
 * @param invariants the monitor of invariants
 * @param retries decides on retries
 * @param spans opens the spans of the hops
 */
public record EntryPorts(
        CatalogueSource catalogues,
        Authenticator authenticator,
        RateGate rates,
        IdempotencyGate idempotency,
        TargetSelector selector,
        Ownership ownership,
        PeerTransport peers,
        TimerService timer,
        InvariantMonitor invariants,
        RetryPolicy retries,
        Spans spans) {}
