package org.balsambank.standin.experiment.reading;

import java.time.Duration;

import org.balsambank.core.serving.target.InFlightRequests;

/** Tells how long a VM holds a request back before it sends it. Stateless and thread-safe. */
interface ReadingPolicy {
    /**
     * Tells how long to wait.
     *
     * @param use what the VM believes to be under way at the target
     * @param promptTokens the tokens of the request
     * @return the time to wait, zero to send at once
     */
    Duration wait(InFlightRequests.Usage use, long promptTokens);
}
