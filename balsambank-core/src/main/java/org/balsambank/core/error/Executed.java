package org.balsambank.core.error;

/** Whether a rejected or failed request was executed. Immutable and thread-safe. */
public enum Executed {
    /** The request was not executed: no byte of it can have reached a target. */
    NO,
    /** The request was executed. */
    YES,
    /** The request may have been executed. */
    UNKNOWN
}
