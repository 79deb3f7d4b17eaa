package org.balsambank.core.port;

import java.util.Objects;

/**
 * Thrown when a call to the key-value service fails.
 *
 * <p>Immutable and thread-safe.
 */
public final class KeyValueException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /**
     * Creates an exception.
     *
     * @param reason why the call failed
     * @param message the message for the log
     */
    public KeyValueException(final Reason reason, final String message) {
        super(message);
        this.reason = Objects.requireNonNull(reason);
    }

    /**
     * Returns why the call failed.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /** The cause of a failed call. */
    public enum Reason {
        /** The revision did not match; nothing was written. */
        CONFLICT,
        /** The lease has ended; nothing was written. */
        LEASE_ENDED,
        /** The service rejected the call; nothing was written. */
        REFUSED,
        /** The changes after the requested revision are no longer available; nothing was written. */
        HISTORY_GONE,
        /** The call was not sent. */
        UNAVAILABLE,
        /** No valid response arrived; a write may have taken effect. */
        UNKNOWN
    }
}
