package org.balsambank.core.serving.request;

import java.util.Objects;

import org.balsambank.core.error.ErrorKind;

/**
 * Thrown when the current serving plan does not admit a request, or when there is no plan.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /**
     * Creates the exception.
     *
     * @param kind the error for the caller
     * @param reason the reason for the log
     */
    RequestRejectedException(final ErrorKind kind, final String reason) {
        super(reason);
        this.kind = Objects.requireNonNull(kind);
    }

    /**
     * Returns the error for the caller.
     *
     * @return the kind of error
     */
    ErrorKind kind() {
        return kind;
    }
}
