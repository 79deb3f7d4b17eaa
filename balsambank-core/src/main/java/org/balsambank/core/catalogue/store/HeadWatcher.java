package org.balsambank.core.catalogue.store;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.time.TimerService;

/**
 * Reads the catalogue from the key-value service if this VM is selected as a watcher.
 *
 * <p>Confined to the decision loop. A watch delivers changes immediately. A read at a fixed period confirms that the
 * service is reachable and compensates for a watch that stopped delivering changes.
 */
public final class HeadWatcher implements Disposable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final VmId self;
    private final KeyValueStore store;
    private final CatalogueReader reader;
    private final TimerService timers;
    private final Supplier<List<VmEntry>> vms;
    private final CatalogueReplica replica;
    private final Freshness freshness;
    private final CompositeDisposable work = new CompositeDisposable();
    private Disposable watch = Disposable.disposed();
    private boolean reading;
    private boolean readAgain;
    private boolean reachable = true;

    /**
     * Creates the component.
     *
     * @param self this VM
     * @param store the key-value service
     * @param timers supplies the time
     * @param vms supplies the last known VMs, including this one
     * @param replica the catalogue of this VM
     * @param freshness is notified of responses of the service
     */
    public HeadWatcher(
            final VmId self,
            final KeyValueStore store,
            final TimerService timers,
            final Supplier<List<VmEntry>> vms,
            final CatalogueReplica replica,
            final Freshness freshness) {
        this.self = Objects.requireNonNull(self);
        this.store = Objects.requireNonNull(store);
        this.reader = new CatalogueReader(store);
        this.timers = Objects.requireNonNull(timers);
        this.vms = Objects.requireNonNull(vms);
        this.replica = Objects.requireNonNull(replica);
        this.freshness = Objects.requireNonNull(freshness);
    }

    /** Reads the catalogue once, and continues at a fixed period while this VM is a watcher. */
    public void start() {
        readHead();
        work.add(timers.every(PERIOD).subscribe(tick -> tick()));
    }

    private void tick() {
        if (!isWatcher()) {
            watch.dispose();
            return;
        }
        readHead();
        if (watch.isDisposed()) {
            watch = watchHead();
        }
    }

    private boolean isWatcher() {
        return WatcherSelector.watchers(vms.get()).contains(self);
    }

    private Disposable watchHead() {
        return store.watch(CatalogueReader.HEAD_KEY, 0)
                .subscribe(change -> readHead(), error -> watch.dispose(), () -> watch.dispose());
    }

    private void readHead() {
        if (reading) {
            readAgain = true;
            return;
        }
        reading = true;
        readAgain = false;
        final long callNanos = timers.nanoTime();
        store.read(CatalogueReader.HEAD_KEY)
                .flatMapCompletable(entry -> entry.isPresent() ? load(entry.get()) : Completable.complete())
                .doFinally(this::readFinished)
                .subscribe(() -> readSucceeded(callNanos), this::readFailed, work);
    }

    private void readFinished() {
        reading = false;
        if (readAgain && !work.isDisposed()) {
            readHead();
        }
    }

    private Completable load(final KeyValueEntry entry) throws CorruptCatalogueException {
        if (CatalogueReader.parseHead(entry.value()).getRevision()
                <= replica.revision().value()) {
            return Completable.complete();
        }
        return reader.readSnapshot(entry, replica.snapshot())
                .doOnSuccess(stored -> replica.installIfNewer(stored.snapshot()))
                .ignoreElement();
    }

    private void readSucceeded(final long callNanos) {
        freshness.confirmedByService(callNanos);
        if (!reachable) {
            LOGGER.atInfo().log(
                    "event=catalogue_service_back revision=%s",
                    replica.revision().value());
        }
        reachable = true;
    }

    private void readFailed(final Throwable error) {
        if (reachable) {
            LOGGER.atWarning().log("event=catalogue_service_lost error=%s", error.getMessage());
        }
        reachable = false;
    }

    @Override
    public void dispose() {
        watch.dispose();
        work.dispose();
    }

    @Override
    public boolean isDisposed() {
        return work.isDisposed();
    }
}
