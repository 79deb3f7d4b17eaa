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
 * <p>Invariant: the right to run is given to one attempt of a call, only after its entry is kept. Confined to the
 * decision loop.
 */
final class ShardOwner {
    private final Epoch epoch;
    private final GroupCommitLog log;
    private final TimerService timer;
    private final IdempotencySettings settings;
    private final RecordTable table = new RecordTable();
    private final Map<CallName, Pending> pending = new HashMap<>();
    private final CompletableSubject closed = CompletableSubject.create();
    private boolean open;

    /**
     * Creates an owner that has not read its log yet.
     *
     * @param epoch the epoch of this VM
     * @param log the log of the shard
     * @param timer gives the time
     * @param settings how records are kept
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
     * Reads the log.
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

    /** Fails all that waits. */
    void close() {
        open = false;
        closed.onComplete();
        log.close();
    }

    /**
     * Tells whether the log can still be written.
     *
     * @return false once another VM has taken over
     */
    boolean usable() {
        return !log.isClosed();
    }

    /**
     * Decides on a call.
     *
     * @param request the call
     * @return the decision; fails if nothing could be recorded
     */
    Single<BeginAnswer> begin(final BeginRequest request) {
        if (!open) {
            return unavailable("the records are being read");
        }
        final Optional<BeginAnswer> known = table.decide(request, nowMillis(), settings.maxRunDuration());
        if (known.isPresent()) {
            return Single.just(known.get());
        }
        final CallName name = new CallName(request.getTeam(), request.getKey());
        final Pending earlier = pending.get(name);
        if (earlier != null) {
            return beside(earlier, request);
        }
        if (table.size() + log.waiting() >= settings.maxRecords()) {
            return unavailable("too many records");
        }
        return record(name, request);
    }

    /**
     * Records how a call ended.
     *
     * @param entry the entry, without its time
     * @return completes when it is kept
     */
    Completable finish(final LogRecord entry) {
        if (!open) {
            return Completable.fromSingle(unavailable("the records are being read"));
        }
        final LogRecord stamped = entry.toBuilder().setTimeMillis(nowMillis()).build();
        return log.append(stamped).andThen(Completable.fromAction(() -> table.apply(stamped)));
    }

    /**
     * Removes what is older than the retention.
     *
     * @return completes when done
     */
    Completable removeOld() {
        return log.removeOld(nowMillis())
                .doOnSuccess(entries -> entries.forEach(table::forget))
                .ignoreElement();
    }

    private Single<BeginAnswer> record(final CallName name, final BeginRequest request) {
        final LogRecord entry = LogRecord.newBuilder()
                .setTeam(request.getTeam())
                .setKey(request.getKey())
                .setAttempt(request.getAttempt())
                .setTimeMillis(nowMillis())
                .setBegun(Begun.newBuilder().setFingerprint(request.getFingerprint()))
                .build();
        final Single<BeginAnswer> answer = log.append(entry)
                .andThen(Single.fromCallable(() -> {
                    table.apply(entry);
                    return table.decide(request, nowMillis(), settings.maxRunDuration())
                            .orElseThrow(() -> new BalsambankException(
                                    ErrorKind.IDEMPOTENCY_UNAVAILABLE, "the call was taken back"));
                }))
                .doFinally(() -> pending.remove(name))
                .cache();
        pending.put(name, new Pending(request.getAttempt(), request.getFingerprint(), answer));
        answer.subscribe(kept -> {}, error -> {});
        return answer;
    }

    private static Single<BeginAnswer> beside(final Pending earlier, final BeginRequest request) {
        if (!earlier.fingerprint().equals(request.getFingerprint())) {
            return Single.just(
                    BeginAnswer.newBuilder().setDecision(Decision.MISMATCH).build());
        }
        return earlier.attempt().equals(request.getAttempt())
                ? earlier.answer()
                : Single.just(
                        BeginAnswer.newBuilder().setDecision(Decision.RUNNING).build());
    }

    private static Single<BeginAnswer> unavailable(final String message) {
        return Single.error(new BalsambankException(ErrorKind.IDEMPOTENCY_UNAVAILABLE, message));
    }

    private long nowMillis() {
        return timer.scheduler().now(TimeUnit.MILLISECONDS);
    }

    /** Names a call. Immutable and thread-safe. */
    private record CallName(String team, String key) {}

    /** A call whose entry is not kept yet. */
    private record Pending(String attempt, String fingerprint, Single<BeginAnswer> answer) {}
}
