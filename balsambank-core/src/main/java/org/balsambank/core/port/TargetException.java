package org.balsambank.core.port;

import java.util.Objects;

/**
 * Thrown when a call to a target fails.
 *
 * <p>Immutable and thread-safe.
 */
public final class TargetException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;
    /** Not serializable; lost if the exception is. */
    private final transient TargetNotice notice;

    /**
     * Creates an exception.
     *
     * @param reason why the call failed
     * @param message the message for the log
     */
    public TargetException(final Reason reason, final String message) {
        this(reason, message, TargetNotice.NONE);
    }

    /**
     * Creates an exception for a rejection.
     *
     * @param reason why the call failed
     * @param message the message for the log
     * @param notice what the target says of itself in the rejection
     */
    public TargetException(final Reason reason, final String message, final TargetNotice notice) {
        super(message);
        this.reason = Objects.requireNonNull(reason);
        this.notice = Objects.requireNonNull(notice);
    }

    /**
     * Returns why the call failed.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /**
     * Returns what the target says of itself.
     *
     * @return the notice, {@link TargetNotice#NONE} if there was no response
     */
    public TargetNotice notice() {
        return notice == null ? TargetNotice.NONE : notice;
    }

    /** The cause of a failed call. */
    public enum Reason {
        /** The connection was refused; no byte of the call reached the target. */
        NOT_SENT,
        /** The target rejected the call without executing it. */
        REFUSED,
        /** The target rejected a command with a stale fencing number. */
        FENCED,
        /** The connection was lost or timed out; the target may have executed the call. */
        LOST
    }
}
