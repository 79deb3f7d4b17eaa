package org.balsambank.core.serving.placement;

/** What a target said to an order. Immutable and thread-safe. */
public enum OrderResult {
    /** It is carrying the order out. */
    ACCEPTED,
    /** What was ordered is already so. */
    HOLDS,
    /** Another order is in progress, or another number of orders was accepted. */
    BUSY,
    /** It has seen a higher fencing number. */
    FENCED,
    /** The order does not exist. */
    INVALID,
    /** Another target has the address, or the base model is not there. */
    MISDIRECTED,
    /** It refused without a reason that is known. */
    REFUSED,
    /** No answer came; the order may be carried out, also later. */
    UNKNOWN
}
