package org.balsambank.core.serving.request;

import java.util.Objects;

import org.balsambank.core.error.ErrorKind;

/**
 * The plan in force does not allow a call.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /**
     * Creates the exception.
     *
     * @param kind what the caller is told
     * @param why what the log is told
     */
    RequestRejectedException(final ErrorKind kind, final String why) {
        super(why);
        this.kind = Objects.requireNonNull(kind);
    }

    /**
     * Returns what the caller is told.
     *
     * @return the kind
     */
    ErrorKind kind() {
        return kind;
    }
}
