package org.balsambank.standin.client;

/**
 * The result of a call as the caller sees it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param outcome how the call ended
 * @param status the HTTP status, 0 if there was no response
 * @param kind the kind of error, empty for a complete response
 * @param ran whether the request ran, as stated by the error: {@code no}, {@code yes}, {@code unknown} or empty
 * @param target the target that responded, empty if the response names none
 * @param adapter the adapter and version that the response names, empty if it names none
 * @param traceId the trace id, empty if the response names none
 * @param text the text of the response
 * @param firstTokenNanos the time until the first token of a stream, or until the body of another response; until the
 *     end of the call if neither arrived
 * @param durationNanos the time until the call ended
 */
public record CallResult(
        Outcome outcome,
        int status,
        String kind,
        String ran,
        String target,
        String adapter,
        String traceId,
        String text,
        long firstTokenNanos,
        long durationNanos) {
    /** The result of an action that needs no call. */
    public static final CallResult NOTHING = new CallResult(Outcome.COMPLETE, 0, "", "", "", "", "", "", 0, 0);

    /** How a call ended. */
    public enum Outcome {
        /** The response was complete. */
        COMPLETE,
        /** The response was an explicit error. */
        ERROR,
        /** The connection could not be established. */
        NOT_CONNECTED,
        /** The connection or stream ended without a complete response or an error. */
        TRUNCATED,
        /** The caller's time limit expired before the call ended. */
        TIMEOUT
    }

    /**
     * Returns whether the response was complete.
     *
     * @return true for a complete response
     */
    public boolean isWhole() {
        return outcome == Outcome.COMPLETE;
    }

    /**
     * Returns whether the request certainly did not run.
     *
     * @return true if the error says so, or if the connection could not be established
     */
    public boolean isNotRun() {
        return outcome == Outcome.NOT_CONNECTED || ran.equals("no");
    }
}
