package org.balsambank.core.target;

import java.util.Optional;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;

/**
 * A request for a permit to run one request on one target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target that runs the request
 * @param adapter the adapter version that the request runs on; empty for a plain service
 * @param team the team that is charged
 * @param trafficClass the traffic class, which sets the urgency of the request in the queue
 * @param fingerprint identifies the content of the request across retries
 * @param deadlineNanos the monotonic time from which no permit is granted
 */
public record AdmissionRequest(
        TargetId target,
        Optional<AdapterRef> adapter,
        TeamId team,
        TrafficClass trafficClass,
        Fingerprint fingerprint,
        long deadlineNanos) {}
