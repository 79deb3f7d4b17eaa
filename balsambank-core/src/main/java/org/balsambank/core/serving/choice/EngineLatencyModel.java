package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.InFlightRequests;

/**
 * A model of the time to the first chunk at the targets of one service, fitted to measured times.
 *
 * <p>The time to the first chunk is the sum of one engine step, which takes longer the more requests run, and the time
 * to process the pending prompt tokens, including those of earlier requests. The step time and the token rate are
 * fitted by least squares with exponential forgetting. A single measurement has little effect: times far from the
 * estimate are clamped, so that one slow target does not determine the model for all. This covers load in which prompts
 * queue up behind each other on engines of any speed.
 *
 * <p>Invariant: the step time and the token rate stay within their bounds. Confined to the decision loop.
 */
public final class EngineLatencyModel {
    private static final double PRIOR_TOKENS_PER_MILLI = 20;
    private static final double PRIOR_STEP_MILLIS = 12;
    private static final double DEFAULT_PAUSE_MILLIS = 400;
    private static final double MIN_TOKENS_PER_MILLI = 1;
    private static final double MAX_TOKENS_PER_MILLI = 1_000;
    private static final double MIN_STEP_MILLIS = 1;
    private static final double MAX_STEP_MILLIS = 500;
    /** The number of running requests at which a step takes twice as long. */
    private static final double REQUESTS_FOR_DOUBLE_STEP = 30;

    /**
     * The estimate, in milliseconds, at which a measurement has weight 1; the weight decreases with the square of the
     * estimate.
     */
    private static final double UNIT_WEIGHT_MILLIS = 100;

    private static final double FORGETTING_FACTOR = 0.985;
    private static final double MIN_RATIO = 0.5;
    private static final double MAX_RATIO = 2;
    private static final double PRIOR_WEIGHT = 6;
    private static final double PRIOR_TOKENS = 2_000;

    private double steps;
    private double stepsByTokens;
    private double tokensSquared;
    private double stepsByMillis;
    private double tokensByMillis;
    private double tokensPerMilli = PRIOR_TOKENS_PER_MILLI;
    private double stepMillis = PRIOR_STEP_MILLIS;

    /** Creates a model that starts with a prior for an engine of typical speed. */
    public EngineLatencyModel() {
        add(PRIOR_WEIGHT, 1, 0, PRIOR_STEP_MILLIS);
        add(PRIOR_WEIGHT, 1, PRIOR_TOKENS, PRIOR_STEP_MILLIS + PRIOR_TOKENS / PRIOR_TOKENS_PER_MILLI);
    }

    /**
     * Estimates the time to the first chunk at a target without slowdown.
     *
     * @param usage the requests in flight at the target
     * @param promptTokens the prompt tokens of the request
     * @return the estimate in milliseconds
     */
    public double timeToFirstChunkMillis(final InFlightRequests.Usage usage, final long promptTokens) {
        return stepFactor(usage.requests()) * stepMillis
                + (usage.pendingPromptTokens() + promptTokens) / tokensPerMilli;
    }

    /**
     * Returns the prompt tokens that a target processes in a given time.
     *
     * @param millis the time in milliseconds
     * @return the number of tokens
     */
    public double tokensReadIn(final double millis) {
        return millis * tokensPerMilli;
    }

    /**
     * Returns the prompt tokens that a target can process within the tolerated pause of a stream.
     *
     * @param maxEventGapMillis the objective for the longest gap between events of a stream, 0 if there is none
     * @return the number of tokens
     */
    public double tokensWithinPause(final long maxEventGapMillis) {
        return tokensReadIn(maxEventGapMillis > 0 ? maxEventGapMillis : DEFAULT_PAUSE_MILLIS);
    }

    /**
     * Updates the model with a measurement. Non-positive times, {@code NaN} and negative token counts are ignored.
     *
     * @param usage the requests in flight at the target when the request was sent
     * @param promptTokens the prompt tokens of the request
     * @param actualMillis the measured time to the first chunk
     */
    public void observe(final InFlightRequests.Usage usage, final long promptTokens, final double actualMillis) {
        final double tokens = usage.pendingPromptTokens() + promptTokens;
        if (!(actualMillis > 0) || tokens < 0) {
            return;
        }
        final double expected = timeToFirstChunkMillis(usage, promptTokens);
        final double millis = Math.min(MAX_RATIO * expected, Math.max(MIN_RATIO * expected, actualMillis));
        decay();
        final double relative = UNIT_WEIGHT_MILLIS / Math.max(1, expected);
        add(relative * relative, stepFactor(usage.requests()), tokens, millis);
        fit();
    }

    private static double stepFactor(final int requests) {
        return 1 + requests / REQUESTS_FOR_DOUBLE_STEP;
    }

    private void add(final double weight, final double step, final double tokens, final double millis) {
        steps += weight * step * step;
        stepsByTokens += weight * step * tokens;
        tokensSquared += weight * tokens * tokens;
        stepsByMillis += weight * step * millis;
        tokensByMillis += weight * tokens * millis;
    }

    private void decay() {
        steps *= FORGETTING_FACTOR;
        stepsByTokens *= FORGETTING_FACTOR;
        tokensSquared *= FORGETTING_FACTOR;
        stepsByMillis *= FORGETTING_FACTOR;
        tokensByMillis *= FORGETTING_FACTOR;
    }

    private void fit() {
        final double determinant = steps * tokensSquared - stepsByTokens * stepsByTokens;
        if (determinant <= 1e-9 * steps * tokensSquared) {
            return;
        }
        final double step = (stepsByMillis * tokensSquared - tokensByMillis * stepsByTokens) / determinant;
        stepMillis = Math.min(MAX_STEP_MILLIS, Math.max(MIN_STEP_MILLIS, step));
        final double perToken = (tokensByMillis - stepMillis * stepsByTokens) / tokensSquared;
        tokensPerMilli = perToken <= 0
                ? MAX_TOKENS_PER_MILLI
                : Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, 1 / perToken));
    }
}
