package org.balsambank.core.request;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.Revision;

/**
 * The authenticated caller of a request, what the request runs on, and how it may be retried.
 *
 * <p>Immutable and thread-safe.
 *
 * @param caller the authenticated caller
 * @param adapter the adapter version that the request runs on; empty for a plain service
 * @param trafficClass the traffic class
 * @param rateUnit the unit of the team's rate limit
 * @param repeatable true if the request may run more than once
 * @param resumable true if a broken stream may be resumed on another target
 * @param body the body to send to the target, with the adapter version set
 * @param fingerprint the hash of the request content, which is the same for repeated requests
 * @param revision the catalogue revision that the plan is based on
 */
public record RequestPlan(
        Caller caller,
        Optional<AdapterRef> adapter,
        TrafficClass trafficClass,
        RateUnit rateUnit,
        boolean repeatable,
        boolean resumable,
        ByteString body,
        Fingerprint fingerprint,
        Revision revision) {}
