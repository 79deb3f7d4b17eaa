package org.balsambank.core.error;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Thrown when a request is rejected or fails. Carries the error kind.
 *
 * <p>Immutable and thread-safe. The message is returned to callers and never contains an API key.
 */
public final class BalsambankException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final Duration retryAfter;

    /**
     * Creates an exception without a retry delay.
     *
     * @param kind the error kind
     * @param message the message for the caller
     */
    public BalsambankException(final ErrorKind kind, final String message) {
        this(kind, message, null);
    }

    /**
     * Creates an exception.
     *
     * @param kind the error kind
     * @param message the message for the caller
     * @param retryAfter the delay before the caller retries, or null
     */
    public BalsambankException(final ErrorKind kind, final String message, final Duration retryAfter) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
        this.retryAfter = retryAfter;
    }

    /**
     * Returns the error kind.
     *
     * @return the kind
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Returns the delay before the caller retries the request.
     *
     * @return the delay, or empty if unknown
     */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
