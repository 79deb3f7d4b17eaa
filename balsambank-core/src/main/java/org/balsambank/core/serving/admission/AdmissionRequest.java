package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.Optional;

import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;

/**
 * What the decision about the admission of a request depends on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the request, for the log
 * @param service the service that handles the request
 * @param team the team, empty for callers without an API key
 * @param priority the priority; a lower number is more urgent
 * @param units the prompt tokens
 * @param objectiveMillis the latency objective, 0 if there is none
 * @param remaining the time until the deadline
 * @param fingerprint equal for requests with the same effect
 */
public record AdmissionRequest(
        RequestId id,
        ServiceName service,
        Optional<TeamId> team,
        int priority,
        double units,
        long objectiveMillis,
        Duration remaining,
        Fingerprint fingerprint) {}
