package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;

/** The caller of one request. Confined to the decision loop. */
public interface CallerResponder {
    /**
     * Gives the final answer of this VM itself.
     *
     * @param kind why the request is refused or has failed
     * @param retryAfter when to come back, if that is of use
     */
    void reject(ErrorKind kind, Optional<Duration> retryAfter);

    /** Ends an answer that has begun, so that it does not look complete. */
    void abort();
}
