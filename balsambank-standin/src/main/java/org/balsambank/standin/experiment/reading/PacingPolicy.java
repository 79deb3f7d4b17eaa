package org.balsambank.standin.experiment.reading;

import java.time.Duration;

import org.balsambank.core.serving.target.InFlightRequests;

/** Determines how long a VM delays a request before sending it. Stateless and thread-safe. */
interface PacingPolicy {
    /**
     * Returns the delay of a request.
     *
     * @param usage the in-flight requests at the target, as known to the VM
     * @param promptTokens the number of prompt tokens of the request
     * @return the delay, zero to send immediately
     */
    Duration delay(InFlightRequests.Usage usage, long promptTokens);
}
