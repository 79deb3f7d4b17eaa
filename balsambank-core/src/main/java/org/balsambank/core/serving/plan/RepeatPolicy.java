package org.balsambank.core.serving.plan;

/** Whether a request of a route may run more than once. Immutable and thread-safe. */
public enum RepeatPolicy {
    /** May run more than once. */
    SAFE,
    /** May run at most once. */
    UNSAFE,
    /** Produces a stream of events. May run at most once, unless its route allows resuming an interrupted stream. */
    STREAM
}
