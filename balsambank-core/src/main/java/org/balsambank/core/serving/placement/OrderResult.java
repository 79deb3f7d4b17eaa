package org.balsambank.core.serving.placement;

/** The response of a target to an order. Immutable and thread-safe. */
public enum OrderResult {
    /** The target executes the order. */
    ACCEPTED,
    /** The target is already in the ordered state. */
    HOLDS,
    /** Another order is in progress, or the number of accepted orders differs from the expected one. */
    BUSY,
    /** The target has seen a higher fencing number. */
    FENCED,
    /** The target rejected the order as invalid. */
    INVALID,
    /** Another target has this address, or the base model is not loaded. */
    MISDIRECTED,
    /** The target refused the order for an unknown reason. */
    REFUSED,
    /** No response arrived; the target may still execute the order, also later. */
    UNKNOWN
}
