package org.balsambank.core.serving.replica;

import java.time.Duration;
import java.util.Objects;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.supervise.Part;
import org.balsambank.core.time.TimerService;

/**
 * Keeps the replica up to date: lists once, then watches; asks other VMs while the service can't be read.
 *
 * <p>A watch whose history is gone is replaced by a list. Confined to the decision loop.
 */
public final class ReplicaReader implements Part {
    /** How long a watch may let changes collect before it asks again. */
    public static final Duration WATCH_PAUSE = Duration.ofMillis(450);

    private static final String ALL = "";
    private static final String PROBE = "serving/probe";
    private static final Duration RETRY = Duration.ofMillis(250);
    private static final Duration ASK_PEERS = Duration.ofMillis(400);

    private final KeyValueStore store;
    private final EntryReplica replica;
    private final EntrySource peers;
    private final EntryListener listener;
    private final TimerService timer;
    private final DecisionLog log;
    private boolean lost;
    private long lostNanos;

    /**
     * Creates a reader.
     *
     * @param store the key-value service
     * @param replica the replica
     * @param peers the other VMs
     * @param listener hears of changes
     * @param timer gives the time
     * @param log takes a line when the service is lost or regained
     */
    public ReplicaReader(
            final KeyValueStore store,
            final EntryReplica replica,
            final EntrySource peers,
            final EntryListener listener,
            final TimerService timer,
            final DecisionLog log) {
        this.store = Objects.requireNonNull(store);
        this.replica = Objects.requireNonNull(replica);
        this.peers = Objects.requireNonNull(peers);
        this.listener = Objects.requireNonNull(listener);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    @Override
    public String name() {
        return "replica";
    }

    @Override
    public Completable run() {
        final Completable reading = Completable.defer(this::listAndWatch)
                .retryWhen(errors ->
                        errors.flatMapSingle(error -> timer.after(failed(error)).toSingleDefault(true)));
        final Completable asking = timer.every(ASK_PEERS)
                .filter(tick -> lost || replica.revision() == 0)
                .concatMapCompletable(tick -> askPeers(), 1);
        return Completable.mergeArray(reading, asking);
    }

    /**
     * Tells whether the service could not be read lately.
     *
     * @return true from the first failure to the next success
     */
    public boolean lost() {
        return lost;
    }

    private void heard() {
        if (!lost) {
            return;
        }
        lost = false;
        log.line("store_regained")
                .with("revision", replica.revision())
                .with(
                        "outage_ms",
                        Duration.ofNanos(timer.nanoTime() - lostNanos).toMillis())
                .write();
        listener.regained();
    }

    private Completable listAndWatch() {
        final Completable listed = replica.revision() == 0 ? list() : lost ? probe() : Completable.complete();
        return listed.andThen(Flowable.defer(() -> store.watch(ALL, replica.revision())))
                .doOnNext(this::watched)
                .ignoreElements()
                .onErrorResumeNext(error -> historyGone(error) ? list() : Completable.error(error))
                .repeat();
    }

    private Completable probe() {
        return store.read(PROBE).doOnSuccess(entry -> heard()).ignoreElement();
    }

    private Completable list() {
        return store.list(ALL)
                .doOnSuccess(snapshot -> {
                    replica.replaceAll(snapshot).forEach(listener::changed);
                    heard();
                })
                .ignoreElement();
    }

    private void watched(final KeyValueChange change) {
        heard();
        replica.complete(change.revision());
        if (replica.apply(change)) {
            listener.changed(change);
        }
    }

    private Completable askPeers() {
        return peers.changesAfter(replica.revision())
                .doOnSuccess(changes -> changes.stream().filter(replica::apply).forEach(listener::changed))
                .ignoreElement()
                .onErrorComplete();
    }

    private Duration failed(final Throwable error) {
        if (!lost) {
            lost = true;
            lostNanos = timer.nanoTime();
            log.line("store_lost")
                    .with("revision", replica.revision())
                    .with("reason", String.valueOf(error.getMessage()))
                    .write();
        }
        return RETRY;
    }

    private static boolean historyGone(final Throwable error) {
        return error instanceof KeyValueException known && known.reason() == Reason.HISTORY_GONE;
    }
}
