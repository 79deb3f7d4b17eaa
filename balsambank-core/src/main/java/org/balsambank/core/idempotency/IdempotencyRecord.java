package org.balsambank.core.idempotency;

import java.util.Optional;

import org.balsambank.protocol.generated.idempotency.KeptAnswer;

/**
 * What a log says of one call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fingerprint what runs
 * @param attempt the right to run that was given
 * @param begunMillis when it was given
 * @param lost true if the outcome will not be known
 * @param answer the answer, once it is kept
 */
record IdempotencyRecord(
        String fingerprint, String attempt, long begunMillis, boolean lost, Optional<KeptAnswer> answer) {
    /**
     * Adds the answer.
     *
     * @param kept the answer
     * @return the record of a call whose answer is kept
     */
    IdempotencyRecord withAnswer(final KeptAnswer kept) {
        return new IdempotencyRecord(fingerprint, attempt, begunMillis, false, Optional.of(kept));
    }

    /**
     * Gives the outcome up.
     *
     * @return the record of a call whose outcome will not be known
     */
    IdempotencyRecord withoutOutcome() {
        return new IdempotencyRecord(fingerprint, attempt, begunMillis, true, answer);
    }
}
