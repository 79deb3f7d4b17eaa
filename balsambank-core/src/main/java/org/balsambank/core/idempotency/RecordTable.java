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
 * The calls of one shard, as its log says.
 *
 * <p>Invariant: the table is what a replay of the log gives, whatever the order in which segments are read twice.
 * Confined to the decision loop.
 */
final class RecordTable {
    private final Map<CallName, IdempotencyRecord> calls = new HashMap<>();
    private final Set<String> abandoned = new HashSet<>();

    /**
     * Takes over an entry that is kept in the log.
     *
     * @param entry the entry
     */
    void apply(final LogRecord entry) {
        final CallName name = new CallName(entry.getTeam(), entry.getKey());
        final IdempotencyRecord known = calls.get(name);
        final boolean same = known != null && known.attempt().equals(entry.getAttempt());
        switch (entry.getEventCase()) {
            case BEGUN:
                begun(name, known, entry);
                break;
            case COMPLETED:
                if (same) {
                    calls.put(name, known.withAnswer(entry.getCompleted()));
                }
                break;
            case LOST:
                if (same && known.answer().isEmpty()) {
                    calls.put(name, known.withoutOutcome());
                }
                break;
            case ABANDONED:
                abandoned.add(entry.getAttempt());
                if (same && known.answer().isEmpty()) {
                    calls.remove(name);
                }
                break;
            default:
                break;
        }
    }

    /**
     * Decides on a call from what the log says.
     *
     * @param request the call
     * @param nowMillis the time
     * @param runLimit how long a call can run
     * @return the decision, or empty if the call is to be recorded first
     */
    Optional<BeginAnswer> decide(final BeginRequest request, final long nowMillis, final Duration runLimit) {
        if (abandoned.contains(request.getAttempt())) {
            return answer(Decision.OUTCOME_UNKNOWN);
        }
        final IdempotencyRecord known = calls.get(new CallName(request.getTeam(), request.getKey()));
        if (known == null) {
            return Optional.empty();
        }
        if (!known.fingerprint().equals(request.getFingerprint())) {
            return answer(Decision.MISMATCH);
        }
        if (known.answer().isPresent()) {
            return Optional.of(BeginAnswer.newBuilder()
                    .setDecision(Decision.COMPLETED)
                    .setAnswer(known.answer().get())
                    .build());
        }
        if (known.attempt().equals(request.getAttempt())) {
            return answer(known.lost() ? Decision.OUTCOME_UNKNOWN : Decision.RUN);
        }
        final boolean over = known.lost() || nowMillis - known.begunMillis() > runLimit.toMillis();
        return answer(over ? Decision.OUTCOME_UNKNOWN : Decision.RUNNING);
    }

    /**
     * Forgets a call whose log entries were removed.
     *
     * @param entry an entry of the call
     */
    void forget(final LogRecord entry) {
        abandoned.remove(entry.getAttempt());
        calls.computeIfPresent(
                new CallName(entry.getTeam(), entry.getKey()),
                (name, known) -> known.attempt().equals(entry.getAttempt()) ? null : known);
    }

    /**
     * Returns the number of calls.
     *
     * @return the number
     */
    int size() {
        return calls.size();
    }

    private void begun(final CallName name, final IdempotencyRecord known, final LogRecord entry) {
        if (known == null && !abandoned.contains(entry.getAttempt())) {
            calls.put(
                    name,
                    new IdempotencyRecord(
                            entry.getBegun().getFingerprint(),
                            entry.getAttempt(),
                            entry.getTimeMillis(),
                            false,
                            Optional.empty()));
        }
    }

    private static Optional<BeginAnswer> answer(final Decision decision) {
        return Optional.of(BeginAnswer.newBuilder().setDecision(decision).build());
    }

    /** Names a call. Immutable and thread-safe. */
    private record CallName(String team, String key) {}
}
