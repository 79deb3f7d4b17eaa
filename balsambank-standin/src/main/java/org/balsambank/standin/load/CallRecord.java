package org.balsambank.standin.load;

import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallResult.Outcome;

/**
 * A call of a run with its result.
 *
 * <p>Immutable and thread-safe.
 *
 * @param call the call
 * @param id the id by which a plain service counts the call
 * @param withinRate true if the reference token bucket found it within the team's rate
 * @param result the result as the caller sees it
 * @param sendDelayNanos the delay from the planned time until it was sent
 * @param correct true if the response is complete, equals the expected text and names the requested adapter
 * @param tokens the cost of the call if the rate counts tokens
 */
record CallRecord(
        ScheduledCall call,
        String id,
        boolean withinRate,
        CallResult result,
        long sendDelayNanos,
        boolean correct,
        int tokens) {
    private static final String RATE_EXCEEDED = "rate_exceeded";

    /**
     * Returns whether the caller got a correct response.
     *
     * @return true for a complete and correct response
     */
    boolean served() {
        return result.isWhole() && correct;
    }

    /**
     * Returns whether the response was incorrect.
     *
     * @return true for a complete but incorrect response
     */
    boolean incorrect() {
        return result.isWhole() && !correct;
    }

    /**
     * Returns whether the team's rate limit rejected the call.
     *
     * @return true if the error is {@code rate_exceeded}
     */
    boolean rejectedByRateLimit() {
        return result.kind().equals(RATE_EXCEEDED);
    }

    /**
     * Returns whether the response ended early without an explicit error.
     *
     * @return true for a truncated response
     */
    boolean truncated() {
        return result.outcome() == Outcome.TRUNCATED;
    }

    /**
     * Returns the time from the planned send time until the caller received the first token.
     *
     * @return nanoseconds
     */
    long firstTokenNanos() {
        return sendDelayNanos + result.firstTokenNanos();
    }
}
