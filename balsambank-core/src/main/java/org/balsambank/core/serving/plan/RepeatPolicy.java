package org.balsambank.core.serving.plan;

/** Says how often a request of a route may run. Immutable and thread-safe. */
public enum RepeatPolicy {
    /** May run more than once. */
    SAFE,
    /** May run once at most. */
    UNSAFE,
    /** Answers with a series of events and may run once at most, unless its route lets it be resumed. */
    STREAM
}
