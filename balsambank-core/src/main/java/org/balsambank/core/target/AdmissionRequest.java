package org.balsambank.core.target;

import java.util.Optional;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;

/**
 * Asks for admission of one request to one target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param adapter the adapter version that the request runs on; empty for a plain service
 * @param team the team that is charged
 * @param trafficClass the traffic class
 * @param fingerprint identifies the content of the request across retries
 * @param deadlineNanos the monotonic time after which the request must not run
 */
public record AdmissionRequest(
        TargetId target,
        Optional<AdapterRef> adapter,
        TeamId team,
        TrafficClass trafficClass,
        Fingerprint fingerprint,
        long deadlineNanos) {}
