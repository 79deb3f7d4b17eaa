package org.balsambank.core.idempotency;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;

/** The reference implementation for tests: one map in memory that never fails. Confined to one thread. */
public final class NaiveIdempotencyGate implements IdempotencyGate {
    private final Map<CallId, CallState> entries = new HashMap<>();

    @Override
    public Single<IdempotencyDecision> begin(
            final TeamId team, final IdempotencyKey key, final Fingerprint fingerprint) {
        return Single.fromSupplier(() -> {
            final CallState known =
                    entries.putIfAbsent(new CallId(team, key), new CallState(fingerprint, Optional.empty(), false));
            if (known == null) {
                return new IdempotencyDecision.Run(team, key, "only");
            }
            if (!known.fingerprint().equals(fingerprint)) {
                return new IdempotencyDecision.Mismatch();
            }
            return known.response()
                    .<IdempotencyDecision>map(IdempotencyDecision.Completed::new)
                    .orElseGet(() -> known.outcomeUnknown()
                            ? new IdempotencyDecision.Unknown()
                            : new IdempotencyDecision.Running());
        });
    }

    @Override
    public Completable complete(final IdempotencyDecision.Run run, final StoredResponse response) {
        return Completable.fromAction(() -> entries.computeIfPresent(
                new CallId(run.team(), run.key()),
                (id, entry) -> new CallState(entry.fingerprint(), Optional.of(response), false)));
    }

    @Override
    public Completable abandon(final IdempotencyDecision.Run run) {
        return Completable.fromAction(() -> entries.remove(new CallId(run.team(), run.key())));
    }

    @Override
    public Completable markOutcomeUnknown(final IdempotencyDecision.Run run) {
        return Completable.fromAction(() -> entries.computeIfPresent(
                new CallId(run.team(), run.key()),
                (id, entry) -> new CallState(entry.fingerprint(), entry.response(), true)));
    }

    /** Identifies a call. */
    private record CallId(TeamId team, IdempotencyKey key) {}

    /** The state of a call. */
    private record CallState(Fingerprint fingerprint, Optional<StoredResponse> response, boolean outcomeUnknown) {}
}
