package org.balsambank.core.serving.choice;

import java.time.Duration;

import org.balsambank.core.serving.target.InFlightRequests;

/**
 * Computes how long a request is delayed before it is sent to a target that has prompts to process.
 *
 * <p>It addresses bursts of prompts at one target: a target processes all its pending prompts in one step, and its
 * running responses pause meanwhile. Delaying some of the prompts here hardly delays their processing, as the target is
 * busy with earlier prompts until then. Stateless and thread-safe.
 */
public final class PrefillPacing {
    /**
     * The share of the pause for one step. An event of a stream takes two steps, each of which may process that many
     * prompt tokens.
     */
    private static final double STEP_SHARE_OF_PAUSE = 0.47;

    private PrefillPacing() {}

    /**
     * Returns the delay before a request is sent.
     *
     * @param model the latency model of the service
     * @param usage the requests in flight at the target, including delayed ones
     * @param promptTokens the prompt tokens of the request
     * @param maxEventGapMillis the objective for the longest gap between events of a stream, 0 if there is none
     * @return the time until the target has few enough pending prompt tokens, zero if that is already so
     */
    public static Duration delay(
            final EngineLatencyModel model,
            final InFlightRequests.Usage usage,
            final long promptTokens,
            final long maxEventGapMillis) {
        final double maxTokens = STEP_SHARE_OF_PAUSE * model.tokensWithinPause(maxEventGapMillis);
        final double excess =
                Math.min(usage.pendingPromptTokens(), usage.pendingPromptTokens() + promptTokens - maxTokens);
        return Duration.ofMillis(Math.round(Math.max(0, excess) / model.tokensReadIn(1)));
    }
}
