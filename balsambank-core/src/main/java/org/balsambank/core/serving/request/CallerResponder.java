package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.Optional;

import org.balsambank.core.error.ErrorKind;

/**
 * The caller of one request, as the receiver of responses that this VM produces itself. Confined to the decision loop.
 */
public interface CallerResponder {
    /**
     * Sends an error response of this VM as the final response.
     *
     * @param kind why the request is rejected or has failed
     * @param retryAfter the time after which a retry is useful, if any
     */
    void reject(ErrorKind kind, Optional<Duration> retryAfter);

    /** Aborts a response that has started, so that the caller does not take it for complete. */
    void abort();
}
