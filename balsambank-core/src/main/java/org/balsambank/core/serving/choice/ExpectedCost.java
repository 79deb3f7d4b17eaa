package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.InFlightRequests;

/**
 * Weighs what a choice is expected to cost, in shares of what a request is worth when it is served in time.
 *
 * <p>Answers the load pattern of a few adapters that get most requests while most adapters are rare: a request waits
 * at the target that has its adapter as long as it is likely to be in time there, and a further copy is fetched only
 * when it is not. Stateless and thread-safe.
 */
final class ExpectedCost {
    private static final double LATE = 0.7;
    private static final double SURELY_IN_TIME = 0.25;
    private static final double UNSURE_SPAN = 0.9;
    private static final double FROM_STORE = 0.28;
    private static final double PER_MILLI = 1e-4;
    private static final double READ_WITHIN_PAUSE = 0.72;
    private static final double READ_SPAN = 0.65;
    private static final double PAUSE = 0.15;
    private static final int PAUSED_REQUESTS = 4;

    private ExpectedCost() {}

    /**
     * Weighs the time to the first piece.
     *
     * @param millis the estimate
     * @param objectiveMillis the time within which the answer is in time, 0 if there is none
     * @return the loss, from 0
     */
    static double ofTime(final double millis, final double objectiveMillis) {
        if (objectiveMillis <= 0) {
            return millis * PER_MILLI;
        }
        final double part = Math.max(0, (millis / objectiveMillis - SURELY_IN_TIME) / UNSURE_SPAN);
        return LATE * Math.min(1, part * part) + millis * PER_MILLI;
    }

    /**
     * Weighs a load of an adapter that the target has not held lately.
     *
     * @return the loss
     */
    static double ofFetch() {
        return FROM_STORE;
    }

    /**
     * Weighs the pauses of running answers while many prompt tokens are read at once.
     *
     * @param use what is under way at the target
     * @param promptTokens the tokens that come on top
     * @param model how fast the target reads
     * @param pauseMillis the longest pause within which a stream is in time, 0 if there is none
     * @return the loss, from 0
     */
    static double ofPauses(
            final InFlightRequests.Usage use,
            final long promptTokens,
            final EngineLatencyModel model,
            final long pauseMillis) {
        final double within = model.tokensWithinPause(pauseMillis);
        final double excess = ((use.pendingPromptTokens() + promptTokens) / within - READ_WITHIN_PAUSE) / READ_SPAN;
        return PAUSE * Math.min(1, Math.max(0, excess)) * Math.min(PAUSED_REQUESTS, use.requests());
    }
}
