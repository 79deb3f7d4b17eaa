package org.balsambank.standin.engine;

/**
 * A queued or running request of an engine.
 *
 * <p>Confined to the event loop of its engine.
 */
final class EngineRequest {
    /** The request. */
    final GenerationRequest generation;

    /** Receives the answer. */
    final AnswerSink sink;

    private final long sequence;

    private long promptReadyNanos;
    private int nextToken;

    /**
     * Creates a queued request.
     *
     * @param generation the request
     * @param sink receives the answer
     * @param sequence the position in the order of arrival
     */
    EngineRequest(final GenerationRequest generation, final AnswerSink sink, final long sequence) {
        this.generation = generation;
        this.sink = sink;
        this.sequence = sequence;
        this.nextToken = generation.resumeFrom();
    }

    /**
     * Compares two requests by their order in the queue: by priority, then by arrival.
     *
     * @param other another request
     * @return negative if this one starts first
     */
    int compareQueueOrder(final EngineRequest other) {
        final int byPriority = Integer.compare(other.generation.priority(), generation.priority());
        return byPriority != 0 ? byPriority : Long.compare(sequence, other.sequence);
    }

    /**
     * Starts the request.
     *
     * @param firstTokenNanos when the prompt has been computed, in the time of the timer service
     */
    void start(final long readyNanos) {
        promptReadyNanos = readyNanos;
    }

    /**
     * Writes the next token if the prompt has been computed.
     *
     * @param now the time of the timer service
     * @return true if a token was written
     */
    boolean step(final long now) {
        if (now - promptReadyNanos < 0 || isDone()) {
            return false;
        }
        sink.token(AnswerText.token(generation.adapter(), generation.prompt(), nextToken));
        nextToken++;
        return true;
    }

    /**
     * Returns whether the answer is complete.
     *
     * @return true after the last token
     */
    boolean isDone() {
        return nextToken >= generation.maxTokens();
    }
}
