package org.balsambank.core.invariant;

/** The invariants checked at run time. Immutable and thread-safe. */
public enum Invariant {
    /** The epoch of a partition never decreases. */
    EPOCH_MONOTONE,
    /** The permits in use at a target never exceed its limit. */
    PERMITS_WITHIN_LIMIT,
    /** No adapter is evicted while it serves a request. */
    NO_EVICTION_IN_USE,
    /** The response comes from the requested adapter and version. */
    RIGHT_ADAPTER,
    /** At most one load of an adapter version is in progress per target. */
    SINGLE_LOAD,
    /** Loads started per second and loads in progress stay within the limits of the weight store. */
    LOADS_WITHIN_LIMIT,
    /** The lent and free units of a team never exceed rate x time + burst. */
    LENT_WITHIN_RATE,
    /** A request reaches exactly one terminal outcome. */
    ONE_TERMINAL_OUTCOME,
    /** A call with an idempotency key is recorded before it is sent. */
    RECORD_BEFORE_SEND,
    /** Nothing is sent to a target after the caller received an error that says the request was not executed. */
    NOTHING_SENT_AFTER_NOT_RUN,
    /** The catalogue revision in force never decreases. */
    REVISION_MONOTONE
}
