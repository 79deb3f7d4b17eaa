package org.balsambank.core.idempotency;

import java.util.Optional;

import org.balsambank.protocol.generated.idempotency.KeptAnswer;

/**
 * The state of one call according to its log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fingerprint the fingerprint of the call's content
 * @param attempt the attempt that was permitted to run the call
 * @param begunMillis the time of the permission in milliseconds since the epoch
 * @param outcomeUnknown true if the outcome will never be known
 * @param response the response, once it is stored
 */
record IdempotencyRecord(
        String fingerprint, String attempt, long begunMillis, boolean outcomeUnknown, Optional<KeptAnswer> response) {
    /**
     * Returns the record with a response.
     *
     * @param stored the response
     * @return the record of a completed call
     */
    IdempotencyRecord withAnswer(final KeptAnswer stored) {
        return new IdempotencyRecord(fingerprint, attempt, begunMillis, false, Optional.of(stored));
    }

    /**
     * Returns the record without a known outcome.
     *
     * @return the record of a call whose outcome will never be known
     */
    IdempotencyRecord withUnknownOutcome() {
        return new IdempotencyRecord(fingerprint, attempt, begunMillis, true, response);
    }
}
