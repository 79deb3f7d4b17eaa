package org.balsambank.core.port;

import java.util.Objects;

/**
 * Thrown when a call to another VM fails.
 *
 * <p>Immutable and thread-safe.
 */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /**
     * Creates an exception.
     *
     * @param reason why the call failed
     * @param message the message for the log
     */
    public PeerException(final Reason reason, final String message) {
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

    /** The reason why a call failed. */
    public enum Reason {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The connection closed or failed its keep-alive check; the other VM may have executed the request. */
        LOST,
        /** No response arrived in time; the other VM may have executed the request. */
        TIMEOUT
    }
}
