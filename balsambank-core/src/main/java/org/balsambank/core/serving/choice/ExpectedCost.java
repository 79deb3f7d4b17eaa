package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.InFlightRequests;

/**
 * Computes the expected cost of a choice, as a fraction of the value of a request that meets its objective.
 *
 * <p>It is designed for skewed load, in which a few adapters get most requests and most adapters are rarely used: a
 * request is queued at a target at which its adapter is resident as long as it is likely to meet its objective there,
 * and another copy is loaded only when it is not. Stateless and thread-safe.
 */
final class ExpectedCost {
    private static final double MISSED_OBJECTIVE = 0.7;
    private static final double SAFE_SHARE = 0.25;
    private static final double RISK_SPAN = 0.9;
    private static final double LOAD_FROM_STORE = 0.28;
    private static final double PER_MILLI = 1e-4;
    private static final double FREE_PAUSE_SHARE = 0.72;
    private static final double PAUSE_SPAN = 0.65;
    private static final double PAUSE_PER_REQUEST = 0.15;
    private static final int MAX_PAUSED_REQUESTS = 4;

    private ExpectedCost() {}

    /**
     * Returns the cost of the time to the first chunk.
     *
     * @param millis the estimated time
     * @param objectiveMillis the objective for the time, 0 if there is none
     * @return the cost, not negative
     */
    static double ofTime(final double millis, final double objectiveMillis) {
        if (objectiveMillis <= 0) {
            return millis * PER_MILLI;
        }
        final double part = Math.max(0, (millis / objectiveMillis - SAFE_SHARE) / RISK_SPAN);
        return MISSED_OBJECTIVE * Math.min(1, part * part) + millis * PER_MILLI;
    }

    /**
     * Returns the cost of loading an adapter of which the target has no recent local copy.
     *
     * @return the cost
     */
    static double ofLoad() {
        return LOAD_FROM_STORE;
    }

    /**
     * Returns the cost of the pauses in running responses while the target processes many prompt tokens at once.
     *
     * @param usage the requests in flight at the target
     * @param promptTokens the prompt tokens of the new request
     * @param model the latency model of the service
     * @param maxEventGapMillis the objective for the longest gap between events of a stream, 0 if there is none
     * @return the cost, not negative
     */
    static double ofPauses(
            final InFlightRequests.Usage usage,
            final long promptTokens,
            final EngineLatencyModel model,
            final long maxEventGapMillis) {
        final double within = model.tokensWithinPause(maxEventGapMillis);
        final double excess = ((usage.pendingPromptTokens() + promptTokens) / within - FREE_PAUSE_SHARE) / PAUSE_SPAN;
        return PAUSE_PER_REQUEST * Math.min(1, Math.max(0, excess)) * Math.min(MAX_PAUSED_REQUESTS, usage.requests());
    }
}
