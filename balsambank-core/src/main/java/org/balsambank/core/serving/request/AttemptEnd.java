package org.balsambank.core.serving.request;

/** How an attempt at a target ended. Immutable and thread-safe. */
public enum AttemptEnd {
    /** The whole response was read, and forwarded to the caller if it was accepted. */
    COMPLETE,
    /** No byte of the request was written to the connection. */
    NOT_SENT,
    /**
     * The connection was lost or sent a malformed response before the response was accepted; the request may have been
     * executed.
     */
    LOST,
    /** The response was cut short after its head had been forwarded. */
    BROKEN
}
