package org.balsambank.standin.experiment.reading;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A model runner with chunked prefill: each step prefills the pending prompt tokens up to a limit and generates one
 * token of each answer. The duration of a step grows with the prefilled tokens and the number of answers.
 *
 * <p>Confined to one thread.
 */
final class SimulatedTarget {
    private static final double STEP_MILLIS = 10.5;
    private static final double STEP_MILLIS_PER_ANSWER = 0.1;
    private static final double PREFILL_TOKENS_PER_MILLI = 19.2;
    private static final double MAX_PREFILL_TOKENS_PER_STEP = 8_192;

    private final Deque<SimulatedRequest> prompts = new ArrayDeque<>();
    private final List<SimulatedRequest> answers = new ArrayList<>();
    private final List<SimulatedRequest> completed;
    private double stepEndMillis = -1;
    private double stepPromptTokens;

    /**
     * Creates an idle target.
     *
     * @param completed the list that completed answers are added to
     */
    SimulatedTarget(final List<SimulatedRequest> completed) {
        this.completed = completed;
    }

    /**
     * Enqueues a request and starts a step if the target is idle.
     *
     * @param request the request
     * @param nowMillis the milliseconds since the start of the run
     */
    void submit(final SimulatedRequest request, final double nowMillis) {
        prompts.addLast(request);
        if (stepEndMillis < 0) {
            startStep(nowMillis);
        }
    }

    /**
     * Completes the steps that end by the given time.
     *
     * @param nowMillis the milliseconds since the start of the run
     */
    void advance(final double nowMillis) {
        while (stepEndMillis >= 0 && stepEndMillis <= nowMillis) {
            endStep();
        }
    }

    /**
     * Returns whether no step is in progress.
     *
     * @return true if there are neither prompts nor answers
     */
    boolean isIdle() {
        return stepEndMillis < 0;
    }

    private void startStep(final double nowMillis) {
        final double pending = prompts.stream()
                .mapToDouble(SimulatedRequest::pendingPromptTokens)
                .sum();
        stepPromptTokens = Math.min(MAX_PREFILL_TOKENS_PER_STEP, pending);
        stepEndMillis = nowMillis
                + STEP_MILLIS
                + STEP_MILLIS_PER_ANSWER * answers.size()
                + stepPromptTokens / PREFILL_TOKENS_PER_MILLI;
    }

    private void endStep() {
        final double now = stepEndMillis;
        while (stepPromptTokens > 0 && !prompts.isEmpty()) {
            final SimulatedRequest first = prompts.peekFirst();
            final double chunk = Math.min(stepPromptTokens, first.pendingPromptTokens());
            first.prefill(chunk);
            stepPromptTokens -= chunk;
            if (first.pendingPromptTokens() > 0) {
                break;
            }
            answers.add(prompts.removeFirst());
        }
        for (final SimulatedRequest answer : List.copyOf(answers)) {
            if (answer.writeToken(now)) {
                answers.remove(answer);
                completed.add(answer);
            }
        }
        stepEndMillis = -1;
        if (!prompts.isEmpty() || !answers.isEmpty()) {
            startStep(now);
        }
    }
}
