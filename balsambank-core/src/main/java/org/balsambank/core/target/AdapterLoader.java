package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetException.Reason;

/**
 * Loads adapters on one engine and evicts others to make room.
 *
 * <p>Invariants: at most one load of an adapter is under way, however many requests wait for it; an order is given
 * only while this VM may act for the target; nothing is evicted that a request runs on. Confined to the decision loop.
 */
final class AdapterLoader {
    /** How long a load may take; after that the order is given up. */
    static final Duration LOAD_TIMEOUT = Duration.ofSeconds(5);
    /** How long an eviction may take; after that the order is given up. */
    static final Duration EVICT_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration CLOSE_AFTER = Duration.ofSeconds(2);

    private final GateContext context;
    private final LoaderHost host;
    private final AdapterResidency table;
    private final LoadBackoff backoff;
    private final Map<AdapterRef, Want> wants = new LinkedHashMap<>();
    private final Set<AdapterRef> underWay = new HashSet<>();

    /**
     * Creates a loader that has nothing to do.
     *
     * @param context what the targets share
     * @param host the target
     * @param table knows what the engine holds
     */
    AdapterLoader(final GateContext context, final LoaderHost host, final AdapterResidency table) {
        this.context = context;
        this.host = host;
        this.table = table;
        this.backoff = new LoadBackoff(context.timers());
    }

    /**
     * Returns how long no load of an adapter is to start, since the last ones failed.
     *
     * @param adapter the version
     * @return the time from now; zero or less if a load may start
     */
    Duration backoff(final AdapterRef adapter) {
        return backoff.remaining(adapter);
    }

    /**
     * Takes note that a request waits for an adapter. The next {@link #pump} goes on with it.
     *
     * @param adapter the version
     * @param trafficClass the class of the request
     */
    void want(final AdapterRef adapter, final TrafficClass trafficClass) {
        final Want want = wants.computeIfAbsent(
                adapter, key -> new Want(adapter, context.timers().nanoTime()));
        if (trafficClass.compareTo(want.trafficClass) < 0) {
            want.trafficClass = trafficClass;
            if (want.step == Step.ASKED) {
                want.withdraw();
            }
        }
    }

    /** Goes on with the loads that can go on. */
    void pump() {
        if (host.epochToOrder().isEmpty()) {
            return;
        }
        for (final Want want : new ArrayList<>(wants.values())) {
            if (want.step == Step.ASKED && !host.waitsFor(want.adapter)) {
                want.withdraw();
            }
            if (want.step == Step.IDLE) {
                advance(want);
            }
        }
    }

    /**
     * Tells whether loads are wanted.
     *
     * @return true if {@link #pump} has something to do
     */
    boolean busy() {
        return !wants.isEmpty();
    }

    /** Drops what was wanted, since this VM no longer decides or the target restarted. */
    void reset() {
        wants.values().forEach(Want::withdraw);
        wants.clear();
        backoff.reset();
    }

    private void advance(final Want want) {
        if (!host.waitsFor(want.adapter) || table.usable(want.adapter)) {
            wants.remove(want.adapter);
        } else if (underWay.contains(want.adapter) || table.holds(want.adapter)) {
            reopenIfAlone(want);
        } else if (table.size() < host.target().adapterSlots()
                || table.victim(host::waitsFor).isPresent()) {
            ask(want);
        } else {
            closeIfLate(want);
        }
    }

    private void reopenIfAlone(final Want want) {
        if (wants.size() == 1 && table.reopen(want.adapter)) {
            wants.remove(want.adapter);
            host.adaptersChanged();
        }
    }

    private void closeIfLate(final Want want) {
        final long waited = context.timers().nanoTime() - want.sinceNanos;
        if (waited >= CLOSE_AFTER.toNanos() && !table.hasClosing()) {
            table.leastWorth().ifPresent(table::close);
        }
    }

    private void ask(final Want want) {
        want.step = Step.ASKED;
        final Disposable request = context.slots()
                .acquire(want.trafficClass)
                .subscribe(slot -> proceed(want, slot), error -> want.withdraw());
        if (want.step == Step.ASKED) {
            want.request = request;
        }
    }

    private void proceed(final Want want, final LoadSlot slot) {
        final Optional<Epoch> epoch = host.epochToOrder();
        final boolean needed = wants.get(want.adapter) == want
                && host.waitsFor(want.adapter)
                && !table.holds(want.adapter)
                && !underWay.contains(want.adapter);
        if (epoch.isEmpty() || !needed) {
            giveUp(want, slot);
        } else if (table.size() < host.target().adapterSlots()) {
            load(want, slot, epoch.get());
        } else {
            table.victim(host::waitsFor)
                    .ifPresentOrElse(victim -> evict(victim, want, slot, epoch.get()), () -> giveUp(want, slot));
        }
    }

    private static void giveUp(final Want want, final LoadSlot slot) {
        want.step = Step.IDLE;
        slot.release();
    }

    private void evict(final AdapterRef victim, final Want want, final LoadSlot slot, final Epoch epoch) {
        want.step = Step.ORDERED;
        context.invariants()
                .check(
                        table.pins(victim) == 0 && table.idle(victim),
                        Invariant.NO_EVICTION_IN_USE,
                        () -> "target=" + host.target().id() + " adapter=" + victim);
        table.evicting(victim);
        limited(context.client().evict(host.target(), epoch, victim), EVICT_TIMEOUT)
                .subscribe(
                        () -> {
                            context.meters().evicted();
                            table.absent(victim);
                            proceed(want, slot);
                        },
                        error -> {
                            table.unknown(victim);
                            giveUp(want, slot);
                            explain(error);
                        });
    }

    private void load(final Want want, final LoadSlot slot, final Epoch epoch) {
        want.step = Step.ORDERED;
        final AdapterRef adapter = want.adapter;
        context.invariants()
                .check(
                        underWay.add(adapter),
                        Invariant.SINGLE_LOAD,
                        () -> "target=" + host.target().id() + " adapter=" + adapter);
        table.loading(adapter);
        limited(context.client().load(host.target(), epoch, adapter), LOAD_TIMEOUT)
                .doOnComplete(slot::release)
                .andThen(host.noticeRestart())
                .subscribe(() -> loadEnded(want, slot), error -> loadFailed(want, slot, error));
    }

    private void loadEnded(final Want want, final LoadSlot slot) {
        underWay.remove(want.adapter);
        wants.remove(want.adapter, want);
        backoff.succeeded(want.adapter);
        table.loaded(want.adapter);
        context.meters().loaded();
        slot.release();
        host.adaptersChanged();
    }

    private void loadFailed(final Want want, final LoadSlot slot, final Throwable error) {
        underWay.remove(want.adapter);
        wants.remove(want.adapter, want);
        backoff.failed(want.adapter);
        if (reason(error) == Reason.LOST) {
            table.unknown(want.adapter);
        } else {
            table.absent(want.adapter);
        }
        context.meters().loadFailed();
        slot.release();
        host.loadFailed(want.adapter);
        explain(error);
    }

    private void explain(final Throwable error) {
        if (reason(error) == Reason.FENCED) {
            host.fenced();
        } else {
            host.reportNeeded();
        }
    }

    private Completable limited(final Completable order, final Duration timeout) {
        return order.timeout(
                timeout.toNanos(), TimeUnit.NANOSECONDS, context.timers().scheduler());
    }

    private static Reason reason(final Throwable error) {
        return error instanceof TargetException exception ? exception.reason() : Reason.LOST;
    }

    /** How far a load has come. */
    private enum Step {
        IDLE,
        ASKED,
        ORDERED
    }

    /** An adapter that requests wait for. */
    private static final class Want {
        private final AdapterRef adapter;
        private final long sinceNanos;
        private TrafficClass trafficClass = TrafficClass.BULK;
        private Step step = Step.IDLE;
        private Disposable request = Disposable.disposed();

        Want(final AdapterRef adapter, final long sinceNanos) {
            this.adapter = adapter;
            this.sinceNanos = sinceNanos;
        }

        /** Leaves the queue for a slot, if the load was not ordered. */
        void withdraw() {
            if (step == Step.ASKED) {
                step = Step.IDLE;
                request.dispose();
            }
        }
    }
}
