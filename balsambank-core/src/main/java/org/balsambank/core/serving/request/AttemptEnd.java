package org.balsambank.core.serving.request;

/** How a send to a target ended. Immutable and thread-safe. */
public enum AttemptEnd {
    /** The whole answer was read, and passed on if it was to be. */
    COMPLETE,
    /** No byte of the request has left. */
    NOT_SENT,
    /** The connection ended or spoke nonsense before the answer was accepted; the request may have run. */
    LOST,
    /** The answer broke off after its head was passed on. */
    BROKEN
}
