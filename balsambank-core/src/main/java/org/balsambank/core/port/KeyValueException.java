package org.balsambank.core.port;

import java.util.Objects;

/**
 * Reports that a call of the key-value service failed.
 *
 * <p>Immutable and thread-safe.
 */
public final class KeyValueException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /**
     * Creates an error.
     *
     * @param reason why the call failed
     * @param message the text for the log
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

    /** Why a call failed. */
    public enum Reason {
        /** The revision was not the expected one; nothing was written. */
        CONFLICT,
        /** The lease has ended; nothing was written. */
        LEASE_ENDED,
        /** The service refused the call; nothing was written. */
        REFUSED,
        /** The changes after the revision asked for are no longer kept; nothing was written. */
        HISTORY_GONE,
        /** The call was not sent. */
        UNAVAILABLE,
        /** No answer came; a write may have taken effect. */
        UNKNOWN
    }
}
