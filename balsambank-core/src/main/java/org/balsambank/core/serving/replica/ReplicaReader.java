package org.balsambank.core.serving.replica;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.PolledKeyValueStore;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;

/**
 * Keeps the replica up to date.
 *
 * <p>Few VMs read the key-value service and pass on what they read. Each VM lists once when it starts. After that it
 * reads itself if that is its part, or if what others pass on is older than a bound. It asks others while it can't
 * read.
 *
 * <p>Invariant: the age of what is known counts from the answer of the service, through however many VMs it has come.
 * What another VM tells counts from when it was asked, so that an answer that has waited is not taken for a fresh one.
 * Confined to the decision loop.
 */
public final class ReplicaReader implements Component {
    private static final String ALL = "";
    private static final String PROBE = "serving/probe";
    private static final Duration WAIT = Duration.ofMillis(500);
    private static final Duration PAUSE = Duration.ofMillis(450);
    private static final Duration IDLE_CHECK = Duration.ofMillis(300);
    private static final Duration RETRY = Duration.ofMillis(250);
    private static final Duration ASK_PEERS = Duration.ofMillis(400);
    /** More than the age that a reader reaches between two answers of the service, and what an edge adds. */
    private static final Duration OLDEST_PASSED_ON = Duration.ofMillis(1_200);

    private final PolledKeyValueStore store;
    private final EntryReplica replica;
    private final EntrySource peers;
    private final EntryListener listener;
    private final TimerService timer;
    private final DecisionLog log;
    private boolean readsItself = true;
    private boolean lost;
    private long lostNanos;
    private long knownNanos;
    private Optional<Long> regainedNanos = Optional.empty();

    /**
     * Creates a reader that has read nothing.
     *
     * @param store the key-value service
     * @param replica the replica
     * @param peers the other VMs
     * @param listener hears of changes
     * @param timer gives the time
     * @param log takes a line when the service is lost or regained
     */
    public ReplicaReader(
            final PolledKeyValueStore store,
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
        knownNanos = timer.nanoTime();
    }

    @Override
    public String name() {
        return "replica";
    }

    @Override
    public Completable run() {
        final Completable reading = Completable.defer(this::read)
                .repeat()
                .retryWhen(errors ->
                        errors.flatMapSingle(error -> timer.after(failed(error)).toSingleDefault(true)));
        return Completable.mergeArray(reading, askPeersWhile(() -> replica.revision() == 0));
    }

    /**
     * Decides whether this VM reads for others.
     *
     * @param reads true if others depend on what it reads
     */
    public void readsItself(final boolean reads) {
        readsItself = reads;
    }

    /**
     * Another VM passes on what it knows.
     *
     * @param revision the revision up to which nothing is missing together with what this VM knows
     * @param age how old the knowledge of the other VM was, and the time since it was asked
     * @param regainedAgo one millisecond more than the time since it could read the service again, zero if it always
     *     could
     * @param changes what has changed after the revision of this VM
     */
    public void told(
            final long revision, final Duration age, final Duration regainedAgo, final List<KeyValueChange> changes) {
        if (!regainedAgo.isZero()) {
            regainedElsewhere(timer.nanoTime() - regainedAgo.toNanos());
        }
        apply(changes);
        if (replica.revision() > 0 && revision >= replica.revision()) {
            replica.complete(revision);
            known(timer.nanoTime() - age.toNanos());
        }
    }

    /**
     * Returns how old the knowledge of this VM is.
     *
     * @return the time since the service has confirmed it
     */
    public Duration age() {
        return Duration.ofNanos(timer.nanoTime() - knownNanos);
    }

    /**
     * Tells whether the service could not be read lately.
     *
     * @return true from the first failure to the next success
     */
    public boolean lost() {
        return lost;
    }

    /**
     * Returns how long the service answers again after an outage.
     *
     * @return the time, if there was an outage
     */
    public Optional<Duration> sinceRegained() {
        return regainedNanos.map(since -> Duration.ofNanos(timer.nanoTime() - since));
    }

    private void known(final long sinceNanos) {
        knownNanos = Math.max(knownNanos, sinceNanos);
    }

    private void regainedElsewhere(final long sinceNanos) {
        final boolean newer = regainedNanos
                .map(known -> sinceNanos - known > ASK_PEERS.toNanos())
                .orElse(true);
        if (newer && !lost) {
            regainedNanos = Optional.of(sinceNanos);
            listener.regained(Duration.ofNanos(timer.nanoTime() - sinceNanos));
        }
    }

    private void heard() {
        known(timer.nanoTime());
        if (!lost) {
            return;
        }
        lost = false;
        regainedNanos = Optional.of(timer.nanoTime());
        log.line("store_regained")
                .with("revision", replica.revision())
                .with(
                        "outage_ms",
                        Duration.ofNanos(timer.nanoTime() - lostNanos).toMillis())
                .write();
        listener.regained(Duration.ZERO);
    }

    private Completable read() {
        if (replica.revision() == 0) {
            return list();
        }
        if (!readsItself && !lost && age().compareTo(OLDEST_PASSED_ON) < 0) {
            return timer.after(IDLE_CHECK);
        }
        final Completable probed = lost ? probe() : Completable.complete();
        return probed.andThen(Single.defer(() -> store.changes(ALL, replica.revision(), WAIT)))
                .doOnSuccess(this::take)
                .ignoreElement()
                .onErrorResumeNext(error -> historyGone(error) ? list() : Completable.error(error))
                .andThen(timer.after(PAUSE));
    }

    private Completable probe() {
        return store.read(PROBE).ignoreElement();
    }

    private Completable list() {
        return store.list(ALL)
                .doOnSuccess(snapshot -> {
                    final List<KeyValueChange> changes = replica.replaceAll(snapshot);
                    heard();
                    changes.forEach(listener::changed);
                })
                .ignoreElement();
    }

    private void take(final PolledKeyValueStore.Changes answer) {
        heard();
        apply(answer.changes());
        replica.complete(answer.revision());
    }

    private void apply(final List<KeyValueChange> changes) {
        changes.stream().filter(replica::apply).forEach(listener::changed);
    }

    private Completable askPeersWhile(final BooleanSupplier needed) {
        return timer.every(ASK_PEERS)
                .takeWhile(tick -> needed.getAsBoolean())
                .concatMapCompletable(tick -> askPeers(), 1);
    }

    private Completable askPeers() {
        return peers.changesAfter(replica.revision())
                .doOnSuccess(this::apply)
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
            askPeersWhile(() -> lost).subscribe();
        }
        return RETRY;
    }

    private static boolean historyGone(final Throwable error) {
        return error instanceof KeyValueException known && known.reason() == Reason.HISTORY_GONE;
    }
}
