package org.balsambank.standin.engine;

/**
 * A request to generate text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the request
 * @param adapter the adapter and version, or the base model
 * @param prompt the prompt
 * @param maxTokens the number of tokens of the complete answer
 * @param resumeFrom the number of tokens at the start of the answer that are skipped
 * @param priority requests with a higher value leave the queue first
 * @param fencingNumber the fencing number, 0 if the call has none
 */
record GenerationRequest(
        String id, String adapter, String prompt, int maxTokens, int resumeFrom, int priority, long fencingNumber) {}
