package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.FlightBook;

/**
 * Estimates how long a target that runs models takes to the first piece of an answer.
 *
 * <p>Answers the load pattern of prompts that queue up behind each other: what counts is the tokens that are still to
 * be read, not the number of requests. Stateless and thread-safe.
 */
public final class FirstPieceEstimate {
    /** The prompt tokens that a target reads in a millisecond. */
    static final double TOKENS_READ_PER_MILLI = 19.2;

    private static final double STEP_MILLIS = 12;
    private static final double STEP_MILLIS_PER_REQUEST = 0.4;

    private FirstPieceEstimate() {}

    /**
     * Estimates the time at the target, at the usual pace.
     *
     * @param use what is under way there
     * @param promptTokens the tokens of the request
     * @return milliseconds
     */
    public static double millis(final FlightBook.Use use, final long promptTokens) {
        return (use.tokensAhead() + promptTokens) / TOKENS_READ_PER_MILLI
                + STEP_MILLIS
                + STEP_MILLIS_PER_REQUEST * use.requests();
    }
}
