package org.balsambank.core.idempotency;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.balsambank.protocol.generated.idempotency.BeginAnswer;
import org.balsambank.protocol.generated.idempotency.BeginRequest;
import org.balsambank.protocol.generated.idempotency.Decision;
import org.balsambank.protocol.generated.idempotency.LogRecord;

/**
 * The calls of one shard according to its log.
 *
 * <p>Invariant: the table equals the result of a replay of the log, also if the replay reads segments twice. Confined
 * to the decision loop.
 */
final class RecordTable {
    private final Map<CallId, IdempotencyRecord> calls = new HashMap<>();
    private final Set<String> abandoned = new HashSet<>();

    /**
     * Applies a committed entry of the log.
     *
     * @param entry the entry, in log order
     */
    void apply(final LogRecord entry) {
        final CallId id = new CallId(entry.getTeam(), entry.getKey());
        final IdempotencyRecord known = calls.get(id);
        final boolean same = known != null && known.attempt().equals(entry.getAttempt());
        switch (entry.getEventCase()) {
            case BEGUN:
                applyBegun(id, known, entry);
                break;
            case COMPLETED:
                if (same) {
                    calls.put(id, known.withAnswer(entry.getCompleted()));
                }
                break;
            case LOST:
                if (same && known.response().isEmpty()) {
                    calls.put(id, known.withUnknownOutcome());
                }
                break;
            case ABANDONED:
                abandoned.add(entry.getAttempt());
                if (same && known.response().isEmpty()) {
                    calls.remove(id);
                }
                break;
            default:
                break;
        }
    }

    /**
     * Decides on a call according to the log.
     *
     * @param request the call
     * @param nowMillis the current time in milliseconds since the epoch
     * @param maxRunDuration the maximum time that a call runs
     * @return the decision, or empty if the call has no record yet
     */
    Optional<BeginAnswer> decide(final BeginRequest request, final long nowMillis, final Duration maxRunDuration) {
        if (abandoned.contains(request.getAttempt())) {
            return response(Decision.OUTCOME_UNKNOWN);
        }
        final IdempotencyRecord known = calls.get(new CallId(request.getTeam(), request.getKey()));
        if (known == null) {
            return Optional.empty();
        }
        if (!known.fingerprint().equals(request.getFingerprint())) {
            return response(Decision.MISMATCH);
        }
        if (known.response().isPresent()) {
            return Optional.of(BeginAnswer.newBuilder()
                    .setDecision(Decision.COMPLETED)
                    .setAnswer(known.response().get())
                    .build());
        }
        if (known.attempt().equals(request.getAttempt())) {
            return response(known.outcomeUnknown() ? Decision.OUTCOME_UNKNOWN : Decision.RUN);
        }
        final boolean ended = known.outcomeUnknown() || nowMillis - known.begunMillis() > maxRunDuration.toMillis();
        return response(ended ? Decision.OUTCOME_UNKNOWN : Decision.RUNNING);
    }

    /**
     * Removes a call whose log entries were removed.
     *
     * @param entry an entry of the call
     */
    void remove(final LogRecord entry) {
        abandoned.remove(entry.getAttempt());
        calls.computeIfPresent(
                new CallId(entry.getTeam(), entry.getKey()),
                (id, known) -> known.attempt().equals(entry.getAttempt()) ? null : known);
    }

    /**
     * Returns the number of calls in the table.
     *
     * @return the number, without abandoned calls
     */
    int size() {
        return calls.size();
    }

    private void applyBegun(final CallId id, final IdempotencyRecord known, final LogRecord entry) {
        if (known == null && !abandoned.contains(entry.getAttempt())) {
            calls.put(
                    id,
                    new IdempotencyRecord(
                            entry.getBegun().getFingerprint(),
                            entry.getAttempt(),
                            entry.getTimeMillis(),
                            false,
                            Optional.empty()));
        }
    }

    private static Optional<BeginAnswer> response(final Decision decision) {
        return Optional.of(BeginAnswer.newBuilder().setDecision(decision).build());
    }

    /** Identifies a call. Immutable and thread-safe. */
    private record CallId(String team, String key) {}
}
