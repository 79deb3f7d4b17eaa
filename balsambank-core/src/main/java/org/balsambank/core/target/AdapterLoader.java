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
 * Loads adapters on one target and evicts others to make room.
 *
 * <p>Invariants: at most one load of an adapter is in flight, however many requests wait for it; load and evict
 * commands are sent only while this VM owns the target; an adapter in use by a request is never evicted. Confined to
 * the decision loop.
 */
final class AdapterLoader {
    /** Timeout of a load command. */
    static final Duration LOAD_TIMEOUT = Duration.ofSeconds(5);
    /** Timeout of an evict command. */
    static final Duration EVICT_TIMEOUT = Duration.ofSeconds(1);

    /** How long a load waits for a free slot before the adapter of lowest priority is drained for eviction. */
    private static final Duration DRAIN_DELAY = Duration.ofSeconds(2);

    private final GateContext context;
    private final LoaderHost host;
    private final AdapterResidency residency;
    private final LoadBackoff backoff;
    private final Map<AdapterRef, PendingLoad> pending = new LinkedHashMap<>();
    private final Set<AdapterRef> inFlight = new HashSet<>();

    /**
     * Creates a loader without pending loads.
     *
     * @param context dependencies shared by all targets
     * @param host the target, as this loader sees it
     * @param residency the adapters resident on the target
     */
    AdapterLoader(final GateContext context, final LoaderHost host, final AdapterResidency residency) {
        this.context = context;
        this.host = host;
        this.residency = residency;
        this.backoff = new LoadBackoff(context.timers());
    }

    /**
     * Returns the remaining backoff of an adapter whose recent loads failed.
     *
     * @param adapter the adapter version
     * @return the time from now; zero or negative if a load may start
     */
    Duration backoff(final AdapterRef adapter) {
        return backoff.remaining(adapter);
    }

    /**
     * Records that a queued request needs an adapter. The next call of {@link #advanceLoads} advances its load.
     *
     * @param adapter the adapter version
     * @param trafficClass the traffic class of the request; the most urgent one applies to the load
     */
    void requestLoad(final AdapterRef adapter, final TrafficClass trafficClass) {
        final PendingLoad pendingLoad = pending.computeIfAbsent(
                adapter, key -> new PendingLoad(adapter, context.timers().nanoTime()));
        if (trafficClass.compareTo(pendingLoad.trafficClass) < 0) {
            pendingLoad.trafficClass = trafficClass;
            if (pendingLoad.step == Step.SLOT_REQUESTED) {
                pendingLoad.cancelSlotRequest();
            }
        }
    }

    /** Advances the pending loads that can proceed. */
    void advanceLoads() {
        if (host.commandEpoch().isEmpty()) {
            return;
        }
        for (final PendingLoad pendingLoad : new ArrayList<>(pending.values())) {
            if (pendingLoad.step == Step.SLOT_REQUESTED && !host.hasQueuedFor(pendingLoad.adapter)) {
                pendingLoad.cancelSlotRequest();
            }
            if (pendingLoad.step == Step.IDLE) {
                advance(pendingLoad);
            }
        }
    }

    /**
     * Returns whether loads are pending.
     *
     * @return true if {@link #advanceLoads} has loads to advance
     */
    boolean hasPendingLoads() {
        return !pending.isEmpty();
    }

    /** Discards all pending loads. Called when this VM loses the target or the target restarts. */
    void reset() {
        pending.values().forEach(PendingLoad::cancelSlotRequest);
        pending.clear();
        backoff.reset();
    }

    private void advance(final PendingLoad pendingLoad) {
        if (!host.hasQueuedFor(pendingLoad.adapter) || residency.usable(pendingLoad.adapter)) {
            pending.remove(pendingLoad.adapter);
        } else if (inFlight.contains(pendingLoad.adapter) || residency.occupiesSlot(pendingLoad.adapter)) {
            cancelDrainIfOnlyPending(pendingLoad);
        } else if (residency.size() < host.target().adapterSlots()
                || residency.victim(host::hasQueuedFor).isPresent()) {
            requestSlot(pendingLoad);
        } else {
            drainIfOverdue(pendingLoad);
        }
    }

    private void cancelDrainIfOnlyPending(final PendingLoad pendingLoad) {
        if (pending.size() == 1 && residency.cancelDrain(pendingLoad.adapter)) {
            pending.remove(pendingLoad.adapter);
            host.onAdaptersUsable();
        }
    }

    private void drainIfOverdue(final PendingLoad pendingLoad) {
        final long waited = context.timers().nanoTime() - pendingLoad.pendingSinceNanos;
        if (waited >= DRAIN_DELAY.toNanos() && !residency.hasDraining()) {
            residency.lowestPriority().ifPresent(residency::drain);
        }
    }

    private void requestSlot(final PendingLoad pendingLoad) {
        pendingLoad.step = Step.SLOT_REQUESTED;
        final Disposable request = context.slots()
                .acquire(pendingLoad.trafficClass)
                .subscribe(slot -> loadOrEvict(pendingLoad, slot), error -> pendingLoad.cancelSlotRequest());
        if (pendingLoad.step == Step.SLOT_REQUESTED) {
            pendingLoad.request = request;
        }
    }

    private void loadOrEvict(final PendingLoad pendingLoad, final LoadSlot slot) {
        final Optional<Epoch> epoch = host.commandEpoch();
        final boolean needed = pending.get(pendingLoad.adapter) == pendingLoad
                && host.hasQueuedFor(pendingLoad.adapter)
                && !residency.occupiesSlot(pendingLoad.adapter)
                && !inFlight.contains(pendingLoad.adapter);
        if (epoch.isEmpty() || !needed) {
            abort(pendingLoad, slot);
        } else if (residency.size() < host.target().adapterSlots()) {
            load(pendingLoad, slot, epoch.get());
        } else {
            residency
                    .victim(host::hasQueuedFor)
                    .ifPresentOrElse(
                            victim -> evict(victim, pendingLoad, slot, epoch.get()), () -> abort(pendingLoad, slot));
        }
    }

    private static void abort(final PendingLoad pendingLoad, final LoadSlot slot) {
        pendingLoad.step = Step.IDLE;
        slot.release();
    }

    private void evict(final AdapterRef victim, final PendingLoad pendingLoad, final LoadSlot slot, final Epoch epoch) {
        pendingLoad.step = Step.COMMAND_SENT;
        context.invariants()
                .check(
                        residency.pins(victim) == 0 && residency.idle(victim),
                        Invariant.NO_EVICTION_IN_USE,
                        () -> "target=" + host.target().id() + " adapter=" + victim);
        residency.markEvicting(victim);
        withTimeout(context.client().evict(host.target(), epoch, victim), EVICT_TIMEOUT)
                .subscribe(
                        () -> {
                            context.meters().evicted();
                            residency.markAbsent(victim);
                            loadOrEvict(pendingLoad, slot);
                        },
                        error -> {
                            residency.markUnknown(victim);
                            abort(pendingLoad, slot);
                            handleFailure(error);
                        });
    }

    private void load(final PendingLoad pendingLoad, final LoadSlot slot, final Epoch epoch) {
        pendingLoad.step = Step.COMMAND_SENT;
        final AdapterRef adapter = pendingLoad.adapter;
        context.invariants()
                .check(
                        inFlight.add(adapter),
                        Invariant.SINGLE_LOAD,
                        () -> "target=" + host.target().id() + " adapter=" + adapter);
        residency.markLoading(adapter);
        withTimeout(context.client().load(host.target(), epoch, adapter), LOAD_TIMEOUT)
                .doOnComplete(slot::release)
                .andThen(host.detectRestart())
                .subscribe(() -> loadEnded(pendingLoad, slot), error -> loadFailed(pendingLoad, slot, error));
    }

    private void loadEnded(final PendingLoad pendingLoad, final LoadSlot slot) {
        inFlight.remove(pendingLoad.adapter);
        pending.remove(pendingLoad.adapter, pendingLoad);
        backoff.recordSuccess(pendingLoad.adapter);
        residency.markLoaded(pendingLoad.adapter);
        context.meters().loaded();
        slot.release();
        host.onAdaptersUsable();
    }

    private void loadFailed(final PendingLoad pendingLoad, final LoadSlot slot, final Throwable error) {
        inFlight.remove(pendingLoad.adapter);
        pending.remove(pendingLoad.adapter, pendingLoad);
        backoff.recordFailure(pendingLoad.adapter);
        if (reason(error) == Reason.LOST) {
            residency.markUnknown(pendingLoad.adapter);
        } else {
            residency.markAbsent(pendingLoad.adapter);
        }
        context.meters().loadFailed();
        slot.release();
        host.onLoadFailed(pendingLoad.adapter);
        handleFailure(error);
    }

    private void handleFailure(final Throwable error) {
        if (reason(error) == Reason.FENCED) {
            host.onFenced();
        } else {
            host.requestReport();
        }
    }

    private Completable withTimeout(final Completable command, final Duration timeout) {
        return command.timeout(
                timeout.toNanos(), TimeUnit.NANOSECONDS, context.timers().scheduler());
    }

    private static Reason reason(final Throwable error) {
        return error instanceof TargetException exception ? exception.reason() : Reason.LOST;
    }

    /** Progress of a pending load. */
    private enum Step {
        /** Neither a load slot is requested nor a command in flight. */
        IDLE,
        /** A load slot is requested. */
        SLOT_REQUESTED,
        /** A load command, or the evict command that makes room for it, was sent. */
        COMMAND_SENT
    }

    /** An adapter that queued requests need. Confined to the decision loop. */
    private static final class PendingLoad {
        private final AdapterRef adapter;
        private final long pendingSinceNanos;
        private TrafficClass trafficClass = TrafficClass.BULK;
        private Step step = Step.IDLE;
        private Disposable request = Disposable.disposed();

        PendingLoad(final AdapterRef adapter, final long pendingSinceNanos) {
            this.adapter = adapter;
            this.pendingSinceNanos = pendingSinceNanos;
        }

        /** Cancels the request for a load slot, unless a load or evict command was already sent. */
        void cancelSlotRequest() {
            if (step == Step.SLOT_REQUESTED) {
                step = Step.IDLE;
                request.dispose();
            }
        }
    }
}
