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
 * Dependencies of request processing on the entry VM.
 *
 * <p>Immutable; the components are confined to the decision loop.
 *
 * @param catalogues the source of the current configuration
 * @param authenticator authenticates callers
 * @param rates enforces the rate limits of teams
 * @param idempotency runs each call with an idempotency key at most once
 * @param selector selects targets
 * @param ownership determines the VM that owns a target
 * @param peers the peer transport
 * @param timer the timer service
 * @param invariants records violated invariants
 * @param retries the retry policy
 * @param spans opens trace spans
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
