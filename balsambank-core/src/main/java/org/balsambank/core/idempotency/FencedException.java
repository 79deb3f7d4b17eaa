package org.balsambank.core.idempotency;

import java.util.Objects;

/**
 * Thrown when this VM may no longer write a log.
 *
 * <p>Immutable and thread-safe.
 */
final class FencedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Cause cause;

    /**
     * Creates an exception.
     *
     * @param cause why the log may not be written
     * @param message the details
     */
    FencedException(final Cause cause, final String message) {
        super(cause + ": " + message);
        this.cause = Objects.requireNonNull(cause);
    }

    /**
     * Returns why the log may not be written.
     *
     * @return the cause
     */
    Cause reason() {
        return cause;
    }

    /** The reason why a log may not be written. */
    enum Cause {
        /** An owner of a later epoch has opened the log. */
        LATER_EPOCH,
        /** This VM did not own the shard when it checked. */
        NOT_OWNER,
        /** Another writer has changed the value. */
        OTHER_WRITE
    }
}
