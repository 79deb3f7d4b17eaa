package org.balsambank.core.target;

/** How a request ended at a target. Immutable and thread-safe. */
public enum TargetOutcome {
    /** The complete response was received. */
    COMPLETED,
    /** The caller cancelled the request. */
    CANCELLED,
    /** The request was not sent. */
    NOT_SENT,
    /** The target refused the request without running it. */
    REFUSED,
    /** The connection broke while the request ran; the request may have crashed the target. */
    LOST
}
