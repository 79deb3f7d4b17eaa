package org.balsambank.core.serving.duty;

/** What is known of a call after it has ended. Immutable and thread-safe. */
public enum DutyOutcome {
    /** It was executed. */
    ACCEPTED,
    /** It was not executed, as a higher fencing token was seen for the same subject. */
    FENCED,
    /** It was not executed and may be repeated later. */
    REFUSED,
    /** It may have been executed, or may be executed later. */
    UNKNOWN
}
