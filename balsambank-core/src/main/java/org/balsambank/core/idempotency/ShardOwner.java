package org.balsambank.core.idempotency;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.idempotency.BeginAnswer;
import org.balsambank.protocol.generated.idempotency.BeginRequest;
import org.balsambank.protocol.generated.idempotency.Begun;
import org.balsambank.protocol.generated.idempotency.Decision;
import org.balsambank.protocol.generated.idempotency.LogRecord;

/**
 * Decides on the calls of one shard in one epoch.
 *
 * <p>Invariant: at most one attempt of a call is permitted to run, and only after its entry is committed. Confined to
 * the decision loop.
 */
final class ShardOwner {
    private final Epoch epoch;
    private final GroupCommitLog log;
    private final TimerService timer;
    private final IdempotencySettings settings;
    private final RecordTable table = new RecordTable();
    private final Map<CallId, Pending> pending = new HashMap<>();
    private final CompletableSubject closed = CompletableSubject.create();
    private boolean open;

    /**
     * Creates an owner that has not read its log yet.
     *
     * @param epoch the epoch in which this VM owns the shard
     * @param log the log of the shard
     * @param timer the clock and timers
     * @param settings the idempotency settings
     */
    ShardOwner(
            final Epoch epoch, final GroupCommitLog log, final TimerService timer, final IdempotencySettings settings) {
        this.epoch = Objects.requireNonNull(epoch);
        this.log = Objects.requireNonNull(log);
        this.timer = Objects.requireNonNull(timer);
        this.settings = Objects.requireNonNull(settings);
    }

    /**
     * Returns the epoch in which this object decides.
     *
     * @return the epoch
     */
    Epoch epoch() {
        return epoch;
    }

    /**
     * Reads the log and builds the table of calls.
     *
     * @return completes when this object can decide
     */
    Completable open() {
        return log.open()
                .takeUntil(closed)
                .doOnSuccess(entries -> {
                    entries.forEach(table::apply);
                    open = true;
                })
                .ignoreElement();
    }

    /** Closes the log and fails all pending calls. */
    void close() {
        open = false;
        closed.onComplete();
        log.close();
    }

    /**
     * Returns whether the log can still be written.
     *
     * @return false if the log is closed, for example after another VM has taken over
     */
    boolean usable() {
        return !log.isClosed();
    }

    /**
     * Decides on a call.
     *
     * @param request the call
     * @return the decision; fails with {@code IDEMPOTENCY_UNAVAILABLE} if the shard is not open or has too many
     *     records, and with {@link FencedException} if another VM has taken over
     */
    Single<BeginAnswer> begin(final BeginRequest request) {
        if (!open) {
            return unavailable("the records are being read");
        }
        final Optional<BeginAnswer> known = table.decide(request, nowMillis(), settings.maxRunDuration());
        if (known.isPresent()) {
            return Single.just(known.get());
        }
        final CallId id = new CallId(request.getTeam(), request.getKey());
        final Pending earlier = pending.get(id);
        if (earlier != null) {
            return decidePending(earlier, request);
        }
        if (table.size() + log.pending() >= settings.maxRecords()) {
            return unavailable("too many records");
        }
        return record(id, request);
    }

    /**
     * Records the outcome of a call.
     *
     * @param entry the entry, without its time
     * @return completes when it is committed
     */
    Completable finish(final LogRecord entry) {
        if (!open) {
            return Completable.fromSingle(unavailable("the records are being read"));
        }
        final LogRecord stamped = entry.toBuilder().setTimeMillis(nowMillis()).build();
        return log.append(stamped).andThen(Completable.fromAction(() -> table.apply(stamped)));
    }

    /**
     * Removes log entries that are older than the retention.
     *
     * @return completes when the entries are removed
     */
    Completable removeExpired() {
        return log.removeExpired(nowMillis())
                .doOnSuccess(entries -> entries.forEach(table::remove))
                .ignoreElement();
    }

    private Single<BeginAnswer> record(final CallId id, final BeginRequest request) {
        final LogRecord entry = LogRecord.newBuilder()
                .setTeam(request.getTeam())
                .setKey(request.getKey())
                .setAttempt(request.getAttempt())
                .setTimeMillis(nowMillis())
                .setBegun(Begun.newBuilder().setFingerprint(request.getFingerprint()))
                .build();
        final Single<BeginAnswer> response = log.append(entry)
                .andThen(Single.fromCallable(() -> {
                    table.apply(entry);
                    return table.decide(request, nowMillis(), settings.maxRunDuration())
                            .orElseThrow(() -> new BalsambankException(
                                    ErrorKind.IDEMPOTENCY_UNAVAILABLE, "the call was taken back"));
                }))
                .doFinally(() -> pending.remove(id))
                .cache();
        pending.put(id, new Pending(request.getAttempt(), request.getFingerprint(), response));
        response.subscribe(ignored -> {}, error -> {});
        return response;
    }

    private static Single<BeginAnswer> decidePending(final Pending earlier, final BeginRequest request) {
        if (!earlier.fingerprint().equals(request.getFingerprint())) {
            return Single.just(
                    BeginAnswer.newBuilder().setDecision(Decision.MISMATCH).build());
        }
        return earlier.attempt().equals(request.getAttempt())
                ? earlier.response()
                : Single.just(
                        BeginAnswer.newBuilder().setDecision(Decision.RUNNING).build());
    }

    private static Single<BeginAnswer> unavailable(final String message) {
        return Single.error(new BalsambankException(ErrorKind.IDEMPOTENCY_UNAVAILABLE, message));
    }

    private long nowMillis() {
        return timer.scheduler().now(TimeUnit.MILLISECONDS);
    }

    /** Identifies a call. Immutable and thread-safe. */
    private record CallId(String team, String key) {}

    /** A call whose entry is not committed yet. */
    private record Pending(String attempt, String fingerprint, Single<BeginAnswer> response) {}
}
