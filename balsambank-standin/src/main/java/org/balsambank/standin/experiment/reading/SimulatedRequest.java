package org.balsambank.standin.experiment.reading;

/**
 * A request at a target, which has its prompt prefilled and then receives output in events.
 *
 * <p>Confined to one thread.
 */
final class SimulatedRequest {
    private static final int TOKENS_PER_EVENT = 2;

    final double arrivedMillis;
    final boolean isLong;
    private final Runnable onFirstEvent;
    private final Runnable onEnd;
    private double pendingPromptTokens;
    private int outputTokensLeft;
    private int tokensInEvent;
    private double lastEventMillis = -1;
    private double longestPauseMillis;
    private double firstEventMillis = -1;

    /**
     * Creates a request whose prefill has not started.
     *
     * @param arrivedMillis when it arrived at its VM, in milliseconds since the start of the run
     * @param promptTokens the number of prompt tokens
     * @param outputTokens the number of tokens of the answer
     * @param isLong whether its answer is in the class of long answers
     * @param onFirstEvent called at the first event
     * @param onEnd called when the answer is complete
     */
    SimulatedRequest(
            final double arrivedMillis,
            final long promptTokens,
            final int outputTokens,
            final boolean isLong,
            final Runnable onFirstEvent,
            final Runnable onEnd) {
        this.arrivedMillis = arrivedMillis;
        this.pendingPromptTokens = promptTokens;
        this.outputTokensLeft = outputTokens;
        this.isLong = isLong;
        this.onFirstEvent = onFirstEvent;
        this.onEnd = onEnd;
    }

    /**
     * Returns the remaining prompt tokens.
     *
     * @return the tokens that are not prefilled yet
     */
    double pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /**
     * Prefills prompt tokens.
     *
     * @param tokens the number of tokens, at most the remaining ones
     */
    void prefill(final double tokens) {
        pendingPromptTokens -= tokens;
    }

    /**
     * Generates one token at the end of a step.
     *
     * @param nowMillis the end of the step
     * @return whether the answer is complete
     */
    boolean writeToken(final double nowMillis) {
        outputTokensLeft--;
        tokensInEvent++;
        if (tokensInEvent == TOKENS_PER_EVENT || firstEventMillis < 0 || outputTokensLeft == 0) {
            sendEvent(nowMillis);
        }
        if (outputTokensLeft == 0) {
            onEnd.run();
        }
        return outputTokensLeft == 0;
    }

    private void sendEvent(final double nowMillis) {
        tokensInEvent = 0;
        if (firstEventMillis < 0) {
            firstEventMillis = nowMillis;
            onFirstEvent.run();
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
    }

    /**
     * Returns the time of the first event.
     *
     * @return milliseconds since the start of the run, negative if there is none yet
     */
    double firstEventMillis() {
        return firstEventMillis;
    }

    /**
     * Returns the longest time between two events.
     *
     * @return milliseconds
     */
    double longestPauseMillis() {
        return longestPauseMillis;
    }
}
