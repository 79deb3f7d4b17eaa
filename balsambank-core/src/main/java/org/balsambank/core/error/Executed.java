package org.balsambank.core.error;

/** Says whether a refused or failed request ran. Immutable and thread-safe. */
public enum Executed {
    /** No byte of the request can have reached a target. */
    NO,
    /** The request ran. */
    YES,
    /** The request may have run. */
    UNKNOWN
}
