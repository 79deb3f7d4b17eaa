package org.balsambank.core.request;

/** The phases of a request. Immutable and thread-safe. */
public enum RequestPhase {
    /** The request was received completely. */
    RECEIVED,
    /**
     * On the entry VM: the caller is authorized and its rate units are taken. On the target's owner: a permit is
     * granted.
     */
    ADMITTED,
    /** The idempotency record is stored. */
    RECORDED,
    /** A byte of the request may have reached a target. */
    SENT,
    /** Part of the response was forwarded. */
    STREAMING,
    /** The request has reached its terminal outcome. */
    ENDED
}
