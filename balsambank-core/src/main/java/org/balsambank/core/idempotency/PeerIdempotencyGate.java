package org.balsambank.core.idempotency;

import java.time.Duration;
import java.util.Objects;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.idempotency.Abandoned;
import org.balsambank.protocol.generated.idempotency.BeginAnswer;
import org.balsambank.protocol.generated.idempotency.BeginRequest;
import org.balsambank.protocol.generated.idempotency.FinishRequest;
import org.balsambank.protocol.generated.idempotency.KeptAnswer;
import org.balsambank.protocol.generated.idempotency.LogRecord;
import org.balsambank.protocol.generated.idempotency.Lost;

/**
 * Requests permission to run a call from the owner of its shard.
 *
 * <p>Invariant: each request carries a unique attempt id, so that a request whose response was lost can be repeated,
 * also to the next owner. An attempt whose request failed never runs. Confined to the decision loop.
 */
public final class PeerIdempotencyGate implements IdempotencyGate {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration BEGIN_RETRY_LIMIT = Duration.ofSeconds(3);
    private static final Duration FINISH_RETRY_LIMIT = Duration.ofSeconds(30);
    private static final Duration FINISH_MAX_WAIT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timer;
    private final ShardMap shards;
    private final String attemptPrefix;
    private long attempts;

    /**
     * Creates a gate.
     *
     * @param self this VM
     * @param nonce distinguishes this process from earlier ones of the same VM
     * @param ownership the owners of the partitions
     * @param peers the connections to the other VMs
     * @param timer the clock and timers
     * @param settings the idempotency settings
     */
    public PeerIdempotencyGate(
            final VmId self,
            final long nonce,
            final Ownership ownership,
            final PeerTransport peers,
            final TimerService timer,
            final IdempotencySettings settings) {
        this.ownership = Objects.requireNonNull(ownership);
        this.peers = Objects.requireNonNull(peers);
        this.timer = Objects.requireNonNull(timer);
        this.shards = new ShardMap(ownership, settings.shards());
        this.attemptPrefix = self + "-" + Long.toHexString(nonce) + "-";
    }

    @Override
    public Single<IdempotencyDecision> begin(
            final TeamId team, final IdempotencyKey key, final Fingerprint fingerprint) {
        return Single.defer(() -> {
            attempts++;
            final IdempotencyDecision.Run run = new IdempotencyDecision.Run(team, key, attemptPrefix + attempts);
            final BeginRequest request = BeginRequest.newBuilder()
                    .setShard(shards.shardOf(team, key))
                    .setTeam(team.value())
                    .setKey(key.value())
                    .setFingerprint(fingerprint.value())
                    .setAttempt(run.attempt())
                    .build();
            return callOwner(request)
                    .map(response -> decision(run, response))
                    .doOnError(error -> abandonUnused(run))
                    .doOnDispose(() -> abandonUnused(run));
        });
    }

    @Override
    public Completable complete(final IdempotencyDecision.Run run, final StoredResponse response) {
        final KeptAnswer stored = KeptAnswer.newBuilder()
                .setStatus(response.status())
                .setContentType(response.contentType())
                .setBody(response.body())
                .build();
        return finish(run, record(run).setCompleted(stored));
    }

    @Override
    public Completable abandon(final IdempotencyDecision.Run run) {
        return finish(run, record(run).setAbandoned(Abandoned.getDefaultInstance()));
    }

    @Override
    public Completable markOutcomeUnknown(final IdempotencyDecision.Run run) {
        return finish(run, record(run).setLost(Lost.getDefaultInstance()));
    }

    private Single<BeginAnswer> callOwner(final BeginRequest request) {
        final long end = timer.nanoTime() + BEGIN_RETRY_LIMIT.toNanos();
        return Single.defer(
                        () -> peers.call(owner(request.getShard()), IdempotencyMethods.BEGIN, request, CALL_TIMEOUT))
                .retryWhen(errors -> retryUntil(end, errors));
    }

    private void abandonUnused(final IdempotencyDecision.Run run) {
        abandon(run).subscribe(() -> {}, error -> {});
    }

    private Completable finish(final IdempotencyDecision.Run run, final LogRecord.Builder record) {
        return Completable.defer(() -> {
            final FinishRequest request = FinishRequest.newBuilder()
                    .setShard(shards.shardOf(run.team(), run.key()))
                    .setRecord(record)
                    .build();
            final long end = timer.nanoTime() + FINISH_RETRY_LIMIT.toNanos();
            final CompletableSubject recorded = CompletableSubject.create();
            Single.defer(() -> peers.call(owner(request.getShard()), IdempotencyMethods.FINISH, request, CALL_TIMEOUT))
                    .retryWhen(errors -> retryUntil(end, errors))
                    .ignoreElement()
                    .subscribe(recorded);
            return recorded.ambWith(timer.after(FINISH_MAX_WAIT));
        });
    }

    private Flowable<Boolean> retryUntil(final long end, final Flowable<Throwable> errors) {
        return errors.concatMap(error -> timer.nanoTime() - end < 0
                ? timer.after(RETRY_DELAY).andThen(Flowable.just(true))
                : Flowable.error(unavailable()));
    }

    private VmId owner(final int shard) throws BalsambankException {
        return ownership.ownerOf(shards.partitionOf(shard)).orElseThrow(PeerIdempotencyGate::unavailable);
    }

    private static IdempotencyDecision decision(final IdempotencyDecision.Run run, final BeginAnswer response)
            throws BalsambankException {
        switch (response.getDecision()) {
            case RUN:
                return run;
            case COMPLETED:
                final KeptAnswer stored = response.getAnswer();
                return new IdempotencyDecision.Completed(
                        new StoredResponse(stored.getStatus(), stored.getContentType(), stored.getBody()));
            case RUNNING:
                return new IdempotencyDecision.Running();
            case OUTCOME_UNKNOWN:
                return new IdempotencyDecision.Unknown();
            case MISMATCH:
                return new IdempotencyDecision.Mismatch();
            default:
                throw unavailable();
        }
    }

    private static LogRecord.Builder record(final IdempotencyDecision.Run run) {
        return LogRecord.newBuilder()
                .setTeam(run.team().value())
                .setKey(run.key().value())
                .setAttempt(run.attempt());
    }

    private static BalsambankException unavailable() {
        return new BalsambankException(
                ErrorKind.IDEMPOTENCY_UNAVAILABLE, "the call could not be recorded and did not run");
    }
}
