package org.balsambank.core.serving.choice;

import java.time.Duration;

import org.balsambank.core.serving.target.FlightBook;

/**
 * Tells how long a request waits before it is sent to a target that has prompts to read.
 *
 * <p>Answers the load pattern of many prompts that come to one target at once: a target reads all that it has in one
 * step, and the answers that it is writing pause meanwhile. Prompts that wait here instead are read little later: the
 * target has the ones before them to read until then. Stateless and thread-safe.
 */
public final class ReadPacing {
    private static final long MOST_TOKENS = 3_600;

    private ReadPacing() {}

    /**
     * Tells how long to wait.
     *
     * @param use what is under way at the target, requests that wait to be sent included
     * @param promptTokens the tokens of the request
     * @return the time until the target has few enough tokens to read, zero if it has them now
     */
    public static Duration wait(final FlightBook.Use use, final long promptTokens) {
        final long excess = Math.min(use.tokensAhead(), use.tokensAhead() + promptTokens - MOST_TOKENS);
        return Duration.ofMillis(Math.round(Math.max(0, excess) / FirstPieceEstimate.TOKENS_READ_PER_MILLI));
    }
}
