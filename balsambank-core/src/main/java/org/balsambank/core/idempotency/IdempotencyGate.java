package org.balsambank.core.idempotency;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;

/**
 * Ensures that a call with an idempotency key runs at most once in the fleet.
 *
 * <p>Invariant: {@link IdempotencyDecision.Run} is returned at most once for a team and key within the retention, and
 * only after the record is committed to the key-value service. Confined to the decision loop.
 *
 * <p>The outcome of a call is recorded on a best-effort basis: an implementation may complete after a time limit and
 * continue in the background.
 */
public interface IdempotencyGate {
    /**
     * Records that a call is about to run, or finds the record of an earlier run.
     *
     * @param team the team that calls
     * @param key the key of the call
     * @param fingerprint the fingerprint of the call's content
     * @return the decision; fails with {@code IDEMPOTENCY_UNAVAILABLE} if the call could not be recorded
     */
    Single<IdempotencyDecision> begin(TeamId team, IdempotencyKey key, Fingerprint fingerprint);

    /**
     * Stores the response of a call for its retries.
     *
     * @param run the decision that {@link #begin} returned
     * @param response the complete response
     * @return completes when recorded or after a time limit
     */
    Completable complete(IdempotencyDecision.Run run, StoredResponse response);

    /**
     * Removes the record of a call that is known not to have run, so that a retry may run.
     *
     * @param run the decision that {@link #begin} returned
     * @return completes when removed or after a time limit
     */
    Completable abandon(IdempotencyDecision.Run run);

    /**
     * Records that the outcome of a call will never be known, so that a retry gets this response at once.
     *
     * @param run the decision that {@link #begin} returned
     * @return completes when recorded or after a time limit
     */
    default Completable markOutcomeUnknown(final IdempotencyDecision.Run run) {
        return Completable.complete();
    }
}
