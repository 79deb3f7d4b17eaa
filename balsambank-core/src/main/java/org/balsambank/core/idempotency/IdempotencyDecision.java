package org.balsambank.core.idempotency;

import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;

/** The decision on a call with an idempotency key. Implementations are immutable and thread-safe. */
public sealed interface IdempotencyDecision {
    /**
     * The call may run once.
     *
     * @param team the team that calls
     * @param key the idempotency key
     * @param attempt identifies this permission to run in the fleet
     */
    record Run(TeamId team, IdempotencyKey key, String attempt) implements IdempotencyDecision {}

    /**
     * The call has already run and its response is stored.
     *
     * @param response the stored response
     */
    record Completed(StoredResponse response) implements IdempotencyDecision {}

    /** The call is running, or may have run with an outcome that is not known yet. */
    record Running() implements IdempotencyDecision {}

    /** The call may have run and its outcome will never be known. */
    record Unknown() implements IdempotencyDecision {}

    /** The key was used for a call with another fingerprint. */
    record Mismatch() implements IdempotencyDecision {}
}
