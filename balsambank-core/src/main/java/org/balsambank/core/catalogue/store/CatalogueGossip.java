package org.balsambank.core.catalogue.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.catalogue.CatalogueExchange;
import org.balsambank.protocol.generated.catalogue.CatalogueFetch;

/**
 * Distributes the catalogue between VMs by gossip.
 *
 * <p>Confined to the decision loop. A VM that installs a revision immediately notifies a few other VMs. Each VM also
 * polls one other VM at a fixed period, which repairs lost notifications; a VM that is not a watcher polls a watcher. A
 * VM that learns of a higher revision fetches the chunks that it lacks, one fetch at a time.
 */
public final class CatalogueGossip implements Disposable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration POLL_ALL_AFTER = Duration.ofMillis(1500);
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(800);
    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(5);
    private static final int FAN_OUT = 3;
    private static final String EXCHANGES = "balsambank.catalogue.exchanges";
    private static final String EXCHANGE_FAILURES = "balsambank.catalogue.exchange.failures";
    private static final String FETCH_FAILURES = "balsambank.catalogue.fetch.failures";

    private final VmId self;
    private final PeerTransport peers;
    private final TimerService timers;
    private final Supplier<List<VmEntry>> vms;
    private final CatalogueReplica replica;
    private final Freshness freshness;
    private final Random random;
    private final MeterRegistry registry;
    private final CompositeDisposable work = new CompositeDisposable();
    private boolean fetching;
    private int peerIndex;

    /**
     * Creates the component.
     *
     * @param self this VM
     * @param peers the transport to the other VMs
     * @param timers supplies the time
     * @param vms supplies the last known VMs, including this one
     * @param replica the catalogue of this VM
     * @param freshness receives the responses of other VMs
     * @param random selects VMs
     * @param registry the registry of the message counters
     */
    public CatalogueGossip(
            final VmId self,
            final PeerTransport peers,
            final TimerService timers,
            final Supplier<List<VmEntry>> vms,
            final CatalogueReplica replica,
            final Freshness freshness,
            final Random random,
            final MeterRegistry registry) {
        this.self = Objects.requireNonNull(self);
        this.peers = Objects.requireNonNull(peers);
        this.timers = Objects.requireNonNull(timers);
        this.vms = Objects.requireNonNull(vms);
        this.replica = Objects.requireNonNull(replica);
        this.freshness = Objects.requireNonNull(freshness);
        this.random = Objects.requireNonNull(random);
        this.registry = Objects.requireNonNull(registry);
    }

    /** Starts to serve and to call other VMs. */
    public void start() {
        peers.serve(CatalogueMethods.EXCHANGE, this::handleExchange);
        peers.serve(
                CatalogueMethods.FETCH,
                (from, fetch) ->
                        Flowable.fromIterable(SnapshotTransfer.parts(replica, new Revision(fetch.getRevision()))));
        work.add(replica.changes().skip(1).subscribe(catalogue -> notifyPeers()));
        work.add(timers.every(PERIOD).startWithItem(0L).subscribe(tick -> poll()));
    }

    /**
     * Counts the VMs on which a revision or a later one is in force.
     *
     * @param revision the revision
     * @return the status; a VM that does not respond is not counted
     */
    public Single<RolloutStatus> rolloutStatus(final Revision revision) {
        final List<VmId> all = ids();
        return Flowable.fromIterable(all)
                .flatMapSingle(vm -> vm.equals(self) ? Single.just(replica.revision()) : revisionOf(vm))
                .filter(installed -> installed.compareTo(revision) >= 0)
                .count()
                .map(count -> new RolloutStatus(count.intValue(), all.size()));
    }

    private Single<Revision> revisionOf(final VmId vm) {
        return call(vm).map(response -> new Revision(response.getRevision())).onErrorReturnItem(new Revision(0));
    }

    private List<VmId> ids() {
        return vms.get().stream().map(VmEntry::id).toList();
    }

    private Flowable<CatalogueExchange> handleExchange(final VmId from, final CatalogueExchange exchange) {
        if (exchange.getRevision() > replica.revision().value()) {
            fetch(from).subscribe(() -> {}, this::countFailure, work);
        }
        return Flowable.just(ownState());
    }

    private CatalogueExchange ownState() {
        return CatalogueExchange.newBuilder()
                .setRevision(replica.revision().value())
                .setAgeMillis((int) freshness.age().toMillis() + 1)
                .build();
    }

    private void notifyPeers() {
        final List<VmId> others = others();
        for (int i = 0; i < FAN_OUT && !others.isEmpty(); i++) {
            exchange(others.remove(random.nextInt(others.size())));
        }
    }

    private void poll() {
        final List<VmId> others = others();
        if (others.isEmpty()) {
            return;
        }
        final List<VmId> watchers = WatcherSelector.watchers(vms.get());
        if (watchers.contains(self)) {
            if (freshness.age().compareTo(POLL_ALL_AFTER) > 0) {
                others.forEach(this::exchange);
            } else {
                exchange(others.get(random.nextInt(others.size())));
            }
            return;
        }
        final boolean stale = freshness.age().compareTo(POLL_ALL_AFTER.multipliedBy(2)) > 0;
        final List<VmId> candidates = stale || watchers.isEmpty() ? others : watchers;
        peerIndex = stale
                ? random.nextInt(candidates.size())
                : Math.floorMod(self.value().hashCode(), candidates.size());
        exchange(candidates.get(peerIndex));
    }

    private List<VmId> others() {
        final List<VmId> others = new ArrayList<>(ids());
        others.remove(self);
        return others;
    }

    private void exchange(final VmId vm) {
        final long callNanos = timers.nanoTime();
        call(vm).flatMapCompletable(response -> handleResponse(vm, callNanos, response))
                .subscribe(() -> {}, this::countFailure, work);
    }

    private Single<CatalogueExchange> call(final VmId vm) {
        registry.counter(EXCHANGES).increment();
        return Single.defer(() -> peers.call(vm, CatalogueMethods.EXCHANGE, ownState(), EXCHANGE_TIMEOUT));
    }

    private void countFailure(final Throwable error) {
        registry.counter(EXCHANGE_FAILURES).increment();
    }

    private Completable handleResponse(final VmId vm, final long callNanos, final CatalogueExchange response) {
        final Completable catchUp =
                response.getRevision() > replica.revision().value() ? fetch(vm) : Completable.complete();
        return catchUp.andThen(Completable.fromAction(() -> {
            if (response.getRevision() <= replica.revision().value()) {
                freshness.confirmedByPeer(vm, callNanos, Duration.ofMillis(response.getAgeMillis()), ids());
            }
        }));
    }

    private Completable fetch(final VmId vm) {
        if (fetching) {
            return Completable.complete();
        }
        fetching = true;
        final Snapshot base = replica.snapshot();
        final CatalogueFetch request =
                CatalogueFetch.newBuilder().setRevision(base.revision().value()).build();
        return peers.stream(vm, CatalogueMethods.FETCH, request)
                .toList()
                .timeout(FETCH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS, timers.scheduler())
                .flatMapCompletable(parts -> Completable.fromAction(() -> {
                    fetching = false;
                    replica.installIfNewer(SnapshotTransfer.assemble(base, parts));
                }))
                .doOnError(error -> {
                    registry.counter(FETCH_FAILURES).increment();
                    LOGGER.atFine().log("event=catalogue_fetch_failed vm=%s error=%s", vm, error.getMessage());
                })
                .onErrorComplete()
                .doFinally(() -> fetching = false);
    }

    @Override
    public void dispose() {
        work.dispose();
    }

    @Override
    public boolean isDisposed() {
        return work.isDisposed();
    }
}
