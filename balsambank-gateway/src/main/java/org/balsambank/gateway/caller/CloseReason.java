package org.balsambank.gateway.caller;

/** The reasons why a connection of a caller is closed. Immutable and thread-safe. */
enum CloseReason {
    /** The response was the last of the connection. */
    LAST_RESPONSE("last_response"),
    /** The caller sent too many requests at once. */
    PIPELINE_OVERFLOW("pipeline_overflow"),
    /** A request was rejected before it was read whole. */
    REJECTED("rejected"),
    /** A response was broken off. */
    RESPONSE_BROKEN("response_broken"),
    /** The caller did not read its responses for the idle time-out. */
    NOT_READING("not_reading"),
    /** The clients of this VM held too much. */
    DROPPED("dropped"),
    /** This VM stops. */
    STOPPING("stopping"),
    /** No request came for the idle time-out. */
    IDLE("idle"),
    /** The caller closed or lost the connection. */
    CLOSED_BY_CALLER("closed_by_caller");

    private final String code;

    CloseReason(final String code) {
        this.code = code;
    }

    /** Returns the name of the reason in the log. */
    String code() {
        return code;
    }
}
