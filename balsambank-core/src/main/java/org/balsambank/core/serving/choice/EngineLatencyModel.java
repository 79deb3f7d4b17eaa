package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.target.InFlightRequests;

/**
 * How fast the targets of one service read prompts, learned from the first pieces of their answers.
 *
 * <p>The time to a first piece is a step, which takes longer the more requests run, and the prompt tokens that are to
 * be read until then, those of requests ahead included. Both figures are fitted by least squares in which an answer
 * counts for less the more answers came after it. One answer moves them little: a time far from the estimate counts as
 * if it were nearer, so that one slow target does not decide for all. Answers the load pattern of prompts that queue up
 * behind each other on engines of any speed.
 *
 * <p>Invariant: both figures stay within their bounds. Confined to the decision loop.
 */
public final class EngineLatencyModel {
    private static final double FIRST_TOKENS_PER_MILLI = 20;
    private static final double FIRST_STEP_MILLIS = 12;
    private static final double DEFAULT_PAUSE_MILLIS = 400;
    private static final double MIN_TOKENS_PER_MILLI = 1;
    private static final double MAX_TOKENS_PER_MILLI = 1_000;
    private static final double MIN_STEP_MILLIS = 1;
    private static final double MAX_STEP_MILLIS = 500;
    /** The running requests that make a step take twice as long. */
    private static final double REQUESTS_FOR_DOUBLE_STEP = 30;

    /** The estimate, in milliseconds, of an answer that counts once; a longer one counts for less, by its square. */
    private static final double UNIT_MILLIS = 100;

    private static final double KEPT_PER_ANSWER = 0.985;
    private static final double NEAREST = 0.5;
    private static final double FARTHEST = 2;
    private static final double PRIOR_WEIGHT = 6;
    private static final double PRIOR_TOKENS = 2_000;

    private double steps;
    private double stepsByTokens;
    private double tokensSquared;
    private double stepsByMillis;
    private double tokensByMillis;
    private double tokensPerMilli = FIRST_TOKENS_PER_MILLI;
    private double stepMillis = FIRST_STEP_MILLIS;

    /** Creates a model of an engine of usual speed. */
    public EngineLatencyModel() {
        add(PRIOR_WEIGHT, 1, 0, FIRST_STEP_MILLIS);
        add(PRIOR_WEIGHT, 1, PRIOR_TOKENS, FIRST_STEP_MILLIS + PRIOR_TOKENS / FIRST_TOKENS_PER_MILLI);
    }

    /**
     * Estimates the time to the first piece at a target of usual speed.
     *
     * @param use what is under way there
     * @param promptTokens the tokens of the request
     * @return milliseconds
     */
    public double timeToFirstChunkMillis(final InFlightRequests.Usage use, final long promptTokens) {
        return step(use.requests()) * stepMillis + (use.pendingPromptTokens() + promptTokens) / tokensPerMilli;
    }

    /**
     * Returns the prompt tokens that a target reads in some time.
     *
     * @param millis the time
     * @return the tokens
     */
    public double tokensReadIn(final double millis) {
        return millis * tokensPerMilli;
    }

    /**
     * Returns the prompt tokens that a target reads within a pause of a stream.
     *
     * @param pauseMillis the longest pause within which the stream is in time, 0 if there is none
     * @return the tokens
     */
    public double tokensWithinPause(final long pauseMillis) {
        return tokensReadIn(pauseMillis > 0 ? pauseMillis : DEFAULT_PAUSE_MILLIS);
    }

    /**
     * Learns from an answer.
     *
     * @param use what was under way at the target when the request was sent
     * @param promptTokens the tokens of the request
     * @param actualMillis the time to the first piece
     */
    public void observe(final InFlightRequests.Usage use, final long promptTokens, final double actualMillis) {
        final double tokens = use.pendingPromptTokens() + promptTokens;
        if (!(actualMillis > 0) || tokens < 0) {
            return;
        }
        final double expected = timeToFirstChunkMillis(use, promptTokens);
        final double millis = Math.min(FARTHEST * expected, Math.max(NEAREST * expected, actualMillis));
        forget();
        final double relative = UNIT_MILLIS / Math.max(1, expected);
        add(relative * relative, step(use.requests()), tokens, millis);
        fit();
    }

    private static double step(final int requests) {
        return 1 + requests / REQUESTS_FOR_DOUBLE_STEP;
    }

    private void add(final double weight, final double step, final double tokens, final double millis) {
        steps += weight * step * step;
        stepsByTokens += weight * step * tokens;
        tokensSquared += weight * tokens * tokens;
        stepsByMillis += weight * step * millis;
        tokensByMillis += weight * tokens * millis;
    }

    private void forget() {
        steps *= KEPT_PER_ANSWER;
        stepsByTokens *= KEPT_PER_ANSWER;
        tokensSquared *= KEPT_PER_ANSWER;
        stepsByMillis *= KEPT_PER_ANSWER;
        tokensByMillis *= KEPT_PER_ANSWER;
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
