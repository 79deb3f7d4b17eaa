package org.balsambank.daemon.http;

import java.time.Duration;

/**
 * The limits on requests and connections of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bodyBytes the maximum size of a body, in bytes
 * @param headerBytes the maximum size of the request line and of the headers, in bytes
 * @param sendTimeout the time limit for receiving a complete request
 * @param idleTimeout how long a connection stays open between two requests; must be longer than the idle timeout of the
 *     callers, so that no request is in flight when this VM closes the connection
 * @param answerTimeout the time limit for a response, counted from the arrival of the complete request
 */
public record CallerLimits(
        int bodyBytes, int headerBytes, Duration sendTimeout, Duration idleTimeout, Duration answerTimeout) {}
