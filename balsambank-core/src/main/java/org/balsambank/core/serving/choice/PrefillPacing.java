package org.balsambank.core.serving.choice;

import java.time.Duration;

import org.balsambank.core.serving.target.InFlightRequests;

/**
 * Tells how long a request waits before it is sent to a target that has prompts to read.
 *
 * <p>Answers the load pattern of many prompts that come to one target at once: a target reads all that it has in one
 * step, and the answers that it is writing pause meanwhile. Prompts that wait here instead are read little later: the
 * target has the ones before them to read until then. Stateless and thread-safe.
 */
public final class PrefillPacing {
    /** An event of a stream takes two steps, each of which may read as much. */
    private static final double PART_OF_PAUSE = 0.47;

    private PrefillPacing() {}

    /**
     * Tells how long to wait.
     *
     * @param model how fast the target reads
     * @param use what is under way at the target, requests that wait to be sent included
     * @param promptTokens the tokens of the request
     * @param pauseMillis the longest pause within which a stream is in time, 0 if there is none
     * @return the time until the target has few enough tokens to read, zero if it has them now
     */
    public static Duration delay(
            final EngineLatencyModel model,
            final InFlightRequests.Usage use,
            final long promptTokens,
            final long pauseMillis) {
        final double most = PART_OF_PAUSE * model.tokensWithinPause(pauseMillis);
        final double excess = Math.min(use.pendingPromptTokens(), use.pendingPromptTokens() + promptTokens - most);
        return Duration.ofMillis(Math.round(Math.max(0, excess) / model.tokensReadIn(1)));
    }
}
