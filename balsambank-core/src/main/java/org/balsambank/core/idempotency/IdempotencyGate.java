package org.balsambank.core.idempotency;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;

/**
 * Lets a call with an idempotency key run at most once in the fleet.
 *
 * <p>Invariant: {@link IdempotencyDecision.Run} is given at most once for a team and key within the retention, and
 * only after the record is kept in the key-value service. Confined to the decision loop.
 */
public interface IdempotencyGate {
    /**
     * Records that a call is about to run, or finds that it did before.
     *
     * @param team the team that calls
     * @param key the key of the call
     * @param fingerprint what would run
     * @return what the caller of this method is to do; fails with {@code IDEMPOTENCY_UNAVAILABLE} if nothing could
     *     be recorded
     */
    Single<IdempotencyDecision> begin(TeamId team, IdempotencyKey key, Fingerprint fingerprint);

    /**
     * Keeps the answer of a call for its repeats.
     *
     * @param run the right to run that {@link #begin} gave
     * @param answer the whole answer
     * @return completes when kept
     */
    Completable complete(IdempotencyDecision.Run run, StoredAnswer answer);

    /**
     * Takes back the record of a call that surely did not run, so that a repeat may run.
     *
     * @param run the right to run that {@link #begin} gave
     * @return completes when taken back
     */
    Completable abandon(IdempotencyDecision.Run run);

    /**
     * Records that the outcome of a call will not be known, so that a repeat is told so at once.
     *
     * @param run the right to run that {@link #begin} gave
     * @return completes when kept
     */
    default Completable markOutcomeUnknown(final IdempotencyDecision.Run run) {
        return Completable.complete();
    }
}
