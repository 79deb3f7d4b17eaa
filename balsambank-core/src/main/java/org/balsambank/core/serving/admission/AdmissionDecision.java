package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a request is admitted.
 *
 * <p>Immutable.
 *
 * @param admitted the admitted request, empty if it is rejected or if fair admission is not active for its service
 * @param retryAfter when to retry if it is rejected, otherwise empty
 */
public record AdmissionDecision(Optional<FairAdmission.AdmittedRequest> admitted, Optional<Duration> retryAfter) {
    /** Admits a request of a service for which fair admission is not active. */
    static final AdmissionDecision NOT_ACTIVE = new AdmissionDecision(Optional.empty(), Optional.empty());

    /** Returns whether the request is rejected. */
    public boolean rejected() {
        return retryAfter.isPresent();
    }
}
