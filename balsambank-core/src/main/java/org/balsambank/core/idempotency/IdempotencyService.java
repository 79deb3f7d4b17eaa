package org.balsambank.core.idempotency;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.idempotency.BeginAnswer;
import org.balsambank.protocol.generated.idempotency.BeginRequest;
import org.balsambank.protocol.generated.idempotency.FinishAnswer;
import org.balsambank.protocol.generated.idempotency.FinishRequest;

/**
 * Serves the idempotency records of the shards that this VM owns.
 *
 * <p>Invariant: a shard is served only in the epoch that this VM holds at that instant. Confined to the decision loop.
 */
public final class IdempotencyService implements Component {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(1);

    private final VmId self;
    private final Ownership ownership;
    private final KeyValueStore store;
    private final TimerService timer;
    private final MeterRegistry registry;
    private final IdempotencySettings settings;
    private final ShardMap shards;
    private final Map<Integer, ShardOwner> owners = new HashMap<>();
    private long openings;

    /**
     * Creates a service without open shards.
     *
     * @param self this VM
     * @param ownership the partitions that this VM owns
     * @param store the key-value service
     * @param timer the clock and timers
     * @param registry the registry of the counters
     * @param settings the idempotency settings
     */
    public IdempotencyService(
            final VmId self,
            final Ownership ownership,
            final KeyValueStore store,
            final TimerService timer,
            final MeterRegistry registry,
            final IdempotencySettings settings) {
        this.self = Objects.requireNonNull(self);
        this.ownership = Objects.requireNonNull(ownership);
        this.store = Objects.requireNonNull(store);
        this.timer = Objects.requireNonNull(timer);
        this.registry = Objects.requireNonNull(registry);
        this.settings = Objects.requireNonNull(settings);
        this.shards = new ShardMap(ownership, settings.shards());
    }

    /**
     * Registers the peer methods, which this VM calls too.
     *
     * @param peers the connections to the other VMs
     */
    public void register(final PeerTransport peers) {
        peers.serve(IdempotencyMethods.BEGIN, (from, request) -> begin(request));
        peers.serve(IdempotencyMethods.FINISH, (from, request) -> finish(request));
    }

    @Override
    public String name() {
        return "idempotency";
    }

    @Override
    public Completable run() {
        return ownership
                .changes()
                .doOnNext(change -> refresh())
                .ignoreElements()
                .mergeWith(timer.every(SWEEP_PERIOD)
                        .doOnNext(tick -> refresh())
                        .concatMapCompletable(tick -> removeExpired()))
                .doFinally(this::closeAll);
    }

    private Flowable<BeginAnswer> begin(final BeginRequest request) {
        return Single.defer(() -> owner(request.getShard()).begin(request))
                .onErrorResumeNext(error -> Single.error(toBalsambankException(error)))
                .toFlowable();
    }

    private Flowable<FinishAnswer> finish(final FinishRequest request) {
        return Completable.defer(() -> owner(request.getShard()).finish(request.getRecord()))
                .onErrorResumeNext(error -> Completable.error(toBalsambankException(error)))
                .andThen(Flowable.just(FinishAnswer.getDefaultInstance()));
    }

    private ShardOwner owner(final int shard) throws BalsambankException {
        refresh(shard);
        final ShardOwner owner = owners.get(shard);
        if (owner == null) {
            throw new BalsambankException(ErrorKind.NO_OWNER, "another VM keeps the records of shard " + shard);
        }
        return owner;
    }

    private void refresh() {
        for (int shard = 0; shard < shards.count(); shard++) {
            refresh(shard);
        }
    }

    private void refresh(final int shard) {
        final Optional<Epoch> held = ownership.heldEpoch(shards.partitionOf(shard));
        final ShardOwner known = owners.get(shard);
        if (known != null && !(known.usable() && held.equals(Optional.of(known.epoch())))) {
            close(shard, known);
        }
        if (held.isPresent() && !owners.containsKey(shard)) {
            open(shard, held.get());
        }
    }

    private void open(final int shard, final Epoch epoch) {
        openings++;
        final SegmentWriter writer = new SegmentWriter(
                store,
                timer,
                () -> ownership.heldEpoch(shards.partitionOf(shard)).equals(Optional.of(epoch)),
                registry);
        final String writerId = self + "/" + epoch.value() + "/" + timer.nanoTime() + "/" + openings;
        final GroupCommitLog log = new GroupCommitLog(shard, epoch, store, writer, timer, settings, writerId);
        final ShardOwner owner = new ShardOwner(epoch, log, timer, settings);
        owners.put(shard, owner);
        owner.open()
                .subscribe(
                        () -> LOGGER.atInfo().log("event=idempotency_shard_open shard=%d epoch=%s", shard, epoch),
                        error -> onOpenFailed(shard, owner, error));
    }

    private void onOpenFailed(final int shard, final ShardOwner owner, final Throwable error) {
        LOGGER.atWarning().log("event=idempotency_shard_not_open shard=%d cause=%s", shard, error.getMessage());
        close(shard, owner);
    }

    private void close(final int shard, final ShardOwner owner) {
        owners.remove(shard, owner);
        owner.close();
    }

    private void closeAll() {
        Map.copyOf(owners).forEach(this::close);
    }

    private Completable removeExpired() {
        return Flowable.fromIterable(List.copyOf(owners.values()))
                .concatMapCompletable(ShardOwner::removeExpired)
                .onErrorComplete();
    }

    private static BalsambankException toBalsambankException(final Throwable error) {
        if (error instanceof BalsambankException balsambank) {
            return balsambank;
        }
        return error instanceof FencedException
                ? new BalsambankException(ErrorKind.NO_OWNER, "another VM keeps the records")
                : new BalsambankException(ErrorKind.IDEMPOTENCY_UNAVAILABLE, "the records cannot be written");
    }
}
