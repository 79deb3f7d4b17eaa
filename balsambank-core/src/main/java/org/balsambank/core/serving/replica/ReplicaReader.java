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
import org.balsambank.core.port.StoreRevision;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;

/**
 * Keeps the replica of the key-value service up to date.
 *
 * <p>Few VMs read the key-value service and forward the changes to the others. Each VM reads a full snapshot when it
 * starts. After that, it reads the service itself if other VMs depend on it, or if what it receives from others is too
 * old. While it cannot read the service, it requests changes from other VMs.
 *
 * <p>Invariant: the age of the replica counts from the response of the service, however many VMs have forwarded it. The
 * age of a forwarded response includes the time since it was requested, so that a response that was delayed is not
 * taken for a fresh one.
 *
 * <p>When the service enters a new era, a VM that reads it lists it afresh at once; the others get the same from the
 * VMs that forward to them. Confined to the decision loop.
 */
public final class ReplicaReader implements Component {
    private static final String ALL_KEYS = "";
    private static final String PROBE_KEY = "serving/probe";
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_PAUSE = Duration.ofMillis(450);
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(300);
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    private static final Duration PEER_FETCH_INTERVAL = Duration.ofMillis(400);
    /**
     * The maximum age of forwarded data before this VM reads the service itself. It exceeds the age that a reader
     * reaches between two responses of the service plus the delay of one tree edge.
     */
    private static final Duration MAX_FORWARDED_AGE = Duration.ofMillis(1_200);

    private final PolledKeyValueStore store;
    private final EntryReplica replica;
    private final EntrySource peers;
    private final EntryListener listener;
    private final TimerService timer;
    private final DecisionLog log;
    private boolean readsStore = true;
    private boolean unavailable;
    private long unavailableSinceNanos;
    private long confirmedNanos;
    private Optional<Long> recoveredNanos = Optional.empty();

    /**
     * Creates a reader that has not read anything yet.
     *
     * @param store the key-value service
     * @param replica the replica
     * @param peers fetches entries from other VMs
     * @param listener receives changes and the end of outages
     * @param timer the timer service
     * @param log the decision log; gets a line when the service becomes unavailable or available
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
        confirmedNanos = timer.nanoTime();
    }

    @Override
    public String name() {
        return "replica";
    }

    @Override
    public Completable run() {
        final Completable reading = Completable.defer(this::read)
                .repeat()
                .retryWhen(errors -> errors.flatMapSingle(
                        error -> timer.after(onFailure(error)).toSingleDefault(true)));
        return Completable.mergeArray(reading, fetchFromPeersWhile(() -> replica.revision() == 0));
    }

    /**
     * Sets whether this VM reads the service on behalf of others.
     *
     * @param reads true if others depend on it
     */
    public void readsStore(final boolean reads) {
        readsStore = reads;
    }

    /**
     * Applies what another VM has forwarded.
     *
     * @param revision the revision up to which this VM is complete after applying the changes
     * @param age the age of the other VM's replica plus the time since it was requested
     * @param recoveredAgo the time since the service became available again for the other VM, plus one millisecond;
     *     zero if it was always available
     * @param changes the changes after the revision of this VM
     */
    public void applyForwarded(
            final long revision, final Duration age, final Duration recoveredAgo, final List<KeyValueChange> changes) {
        if (!recoveredAgo.isZero()) {
            recoveredElsewhere(timer.nanoTime() - recoveredAgo.toNanos());
        }
        if (replica.revision() > 0 && StoreRevision.era(revision) > StoreRevision.era(replica.revision())) {
            replaceAll(revision, changes);
        } else {
            apply(changes);
        }
        if (replica.revision() > 0 && revision >= replica.revision()) {
            replica.markComplete(revision);
            confirm(timer.nanoTime() - age.toNanos());
        }
    }

    /**
     * Applies states that another VM retains from an earlier era.
     *
     * @param states the states
     */
    public void applyRetained(final List<KeyValueChange> states) {
        apply(states);
    }

    /**
     * Returns how often the retained states have changed.
     *
     * @return a number that increases
     */
    public int retainedChanges() {
        return replica.retainedChanges();
    }

    /**
     * Returns the age of the replica.
     *
     * @return the time since the service confirmed the content
     */
    public Duration age() {
        return Duration.ofNanos(timer.nanoTime() - confirmedNanos);
    }

    /**
     * Returns whether the service is currently unavailable.
     *
     * @return true from the first failed read to the next successful one
     */
    public boolean unavailable() {
        return unavailable;
    }

    /**
     * Returns the time since the service became available again.
     *
     * @return the time, empty if there was no outage
     */
    public Optional<Duration> sinceRecovery() {
        return recoveredNanos.map(since -> Duration.ofNanos(timer.nanoTime() - since));
    }

    private void confirm(final long sinceNanos) {
        confirmedNanos = Math.max(confirmedNanos, sinceNanos);
    }

    private void recoveredElsewhere(final long sinceNanos) {
        final boolean newer = recoveredNanos
                .map(known -> sinceNanos - known > PEER_FETCH_INTERVAL.toNanos())
                .orElse(true);
        if (newer && !unavailable) {
            recoveredNanos = Optional.of(sinceNanos);
            listener.storeRecovered(Duration.ofNanos(timer.nanoTime() - sinceNanos));
        }
    }

    private void storeResponded() {
        confirm(timer.nanoTime());
        if (!unavailable) {
            return;
        }
        unavailable = false;
        recoveredNanos = Optional.of(timer.nanoTime());
        log.line("store_regained")
                .with("revision", replica.revision())
                .with(
                        "outage_ms",
                        Duration.ofNanos(timer.nanoTime() - unavailableSinceNanos)
                                .toMillis())
                .write();
        listener.storeRecovered(Duration.ZERO);
    }

    private Completable read() {
        if (replica.revision() == 0) {
            return list();
        }
        if (!readsStore && !unavailable && age().compareTo(MAX_FORWARDED_AGE) < 0) {
            return timer.after(IDLE_CHECK_INTERVAL);
        }
        final Completable probed = unavailable ? probe() : Completable.complete();
        return probed.andThen(Single.defer(() -> store.changes(ALL_KEYS, replica.revision(), WATCH_TIMEOUT)))
                .doOnSuccess(this::applyChanges)
                .ignoreElement()
                .takeUntil(nextEra())
                .onErrorResumeNext(error -> historyGone(error) ? list() : Completable.error(error))
                .andThen(Completable.defer(() -> behindEra() ? list() : Completable.complete()))
                .andThen(timer.after(READ_PAUSE).takeUntil(nextEra()));
    }

    private Completable nextEra() {
        return store.era().changes().observeOn(timer.scheduler()).firstElement().ignoreElement();
    }

    private boolean behindEra() {
        return StoreRevision.era(replica.revision()) < store.era().current();
    }

    private Completable probe() {
        return store.read(PROBE_KEY).ignoreElement();
    }

    private Completable list() {
        return store.list(ALL_KEYS)
                .doOnSuccess(snapshot -> {
                    storeResponded();
                    replaceAll(
                            snapshot.revision(),
                            snapshot.entries().stream()
                                    .map(EntryReplica::toChange)
                                    .toList());
                })
                .ignoreElement();
    }

    private void replaceAll(final long revision, final List<KeyValueChange> listing) {
        final long era = StoreRevision.era(revision);
        final boolean newEra = replica.revision() > 0 && era > StoreRevision.era(replica.revision());
        if (newEra) {
            recoveredNanos = Optional.of(timer.nanoTime());
            listener.storeRecovered(Duration.ZERO);
        }
        replica.replaceAll(revision, listing).forEach(listener::changed);
        if (newEra) {
            listener.eraComplete(era);
        }
    }

    private void applyChanges(final PolledKeyValueStore.Changes response) {
        storeResponded();
        apply(response.changes());
        replica.markComplete(response.revision());
    }

    private void apply(final List<KeyValueChange> changes) {
        changes.stream().filter(replica::apply).forEach(listener::changed);
    }

    private Completable fetchFromPeersWhile(final BooleanSupplier needed) {
        return timer.every(PEER_FETCH_INTERVAL)
                .takeWhile(tick -> needed.getAsBoolean())
                .concatMapCompletable(tick -> fetchFromPeers(), 1);
    }

    private Completable fetchFromPeers() {
        return peers.changesAfter(replica.revision())
                .doOnSuccess(this::apply)
                .ignoreElement()
                .onErrorComplete();
    }

    private Duration onFailure(final Throwable error) {
        if (!unavailable) {
            unavailable = true;
            unavailableSinceNanos = timer.nanoTime();
            log.line("store_lost")
                    .with("revision", replica.revision())
                    .with("reason", String.valueOf(error.getMessage()))
                    .write();
            fetchFromPeersWhile(() -> unavailable).subscribe();
        }
        return RETRY_DELAY;
    }

    private static boolean historyGone(final Throwable error) {
        return error instanceof KeyValueException known && known.reason() == Reason.HISTORY_GONE;
    }
}
