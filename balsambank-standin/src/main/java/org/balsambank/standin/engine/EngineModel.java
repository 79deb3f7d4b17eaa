package org.balsambank.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.time.TimerService;

/**
 * A model of an engine with continuous batching: each step writes one token of each running request, and its duration
 * grows with the batch size.
 *
 * <p>Invariants: at most {@code concurrency} requests run; at most {@code slots} adapters are loaded or being loaded;
 * a request runs only on a loaded adapter. Confined to the event loop of its timer service.
 */
final class EngineModel {
    private static final double STEP_GROWTH_PER_REQUEST = 0.02;
    private static final Duration PROMPT_TOKEN_TIME = Duration.ofNanos(50_000);
    private static final int PREFIX_CACHE_BLOCKS = 20_000;
    private static final int MAX_QUEUE_PER_CONCURRENCY = 4;

    private final EngineSettings settings;
    private final TimerService timer;
    private final WeightStore weights;
    private final EngineStats stats = new EngineStats();
    private final EngineFaults faults = new EngineFaults();
    private final PrefixCache prefixes = new PrefixCache(PREFIX_CACHE_BLOCKS);
    private final WarmUp warmUp;
    private final Set<String> loaded = new LinkedHashSet<>();
    private final Set<String> loading = new HashSet<>();
    private final List<EngineRequest> running = new ArrayList<>();
    private final PriorityQueue<EngineRequest> waiting = new PriorityQueue<>(EngineRequest::compareQueueOrder);

    private long sequence;
    private long highestFencingNumber;
    private int boot = 1;
    private Disposable nextStep = Disposable.disposed();
    private long stepStartNanos;

    /**
     * Creates a cold engine without adapters.
     *
     * @param settings the capacity and the timing of the engine
     * @param timer the timers of the event loop of the engine
     * @param weights the store that adapters are loaded from
     */
    EngineModel(final EngineSettings settings, final TimerService timer, final WeightStore weights) {
        this.settings = Objects.requireNonNull(settings);
        this.timer = Objects.requireNonNull(timer);
        this.weights = Objects.requireNonNull(weights);
        this.warmUp = new WarmUp(settings.concurrency());
    }

    /**
     * Accepts or rejects a request.
     *
     * <p>A request that exceeds the capacity of a cold engine restarts it, which aborts all its requests.
     *
     * @param generation the request
     * @param sink receives the answer
     * @return {@code ACCEPTED} if the request was started or queued, else the reason for the rejection
     */
    Admission submit(final GenerationRequest generation, final AnswerSink sink) {
        if (isFenced(generation.fencingNumber())) {
            return Admission.FENCED;
        }
        if (!isAvailable(generation.adapter())) {
            stats.notLoaded++;
            return Admission.NOT_LOADED;
        }
        if (waiting.size() >= settings.concurrency() * MAX_QUEUE_PER_CONCURRENCY) {
            stats.busy++;
            return Admission.BUSY;
        }
        waiting.add(new EngineRequest(generation, sink, sequence++));
        stats.mostInside = Math.max(stats.mostInside, admittedCount());
        if (!warmUp.isWarm() && admittedCount() > warmUp.capacity()) {
            stats.fellOver++;
            restart();
            return Admission.ACCEPTED;
        }
        startQueuedRequests();
        return Admission.ACCEPTED;
    }

    /**
     * Cancels a request whose caller has disconnected.
     *
     * @param sink the sink of the request
     */
    void cancel(final AnswerSink sink) {
        final boolean removed =
                running.removeIf(request -> request.sink == sink) | waiting.removeIf(request -> request.sink == sink);
        if (removed) {
            stats.cancelled++;
            startQueuedRequests();
        }
    }

    /**
     * Loads an adapter into a free slot.
     *
     * @param adapter the adapter and version
     * @param fencingNumber the fencing number, 0 if the call has none
     * @return {@code ACCEPTED} when it is loaded, {@code BUSY} if the load failed or the engine restarted meanwhile
     */
    Single<Admission> load(final String adapter, final long fencingNumber) {
        if (isFenced(fencingNumber)) {
            return Single.just(Admission.FENCED);
        }
        if (loaded.contains(adapter)) {
            return Single.just(Admission.ACCEPTED);
        }
        if (faults.hasNoWeights(adapter)) {
            return Single.just(Admission.NOT_LOADED);
        }
        if (loading.contains(adapter)) {
            stats.duplicateLoads++;
        } else if (loaded.size() + loading.size() >= settings.slots()) {
            stats.noSlot++;
            return Single.just(Admission.NO_SLOT);
        }
        loading.add(adapter);
        final int bootAtStart = boot;
        return weights.load(adapter)
                .observeOn(timer.scheduler())
                .andThen(Single.fromCallable(() -> completeLoad(adapter, bootAtStart)));
    }

    /**
     * Evicts an adapter. Its running and queued requests are aborted and counted.
     *
     * @param adapter the adapter and version
     * @param fencingNumber the fencing number, 0 if the call has none
     * @return {@code ACCEPTED} if it is not loaded any more
     */
    Admission unload(final String adapter, final long fencingNumber) {
        if (isFenced(fencingNumber)) {
            return Admission.FENCED;
        }
        if (loaded.remove(adapter)) {
            stats.evictions++;
            abortRequestsOf(adapter);
        }
        return Admission.ACCEPTED;
    }

    /** Restarts the engine: it is cold, has no adapters, aborts all requests and has a new boot id. */
    void restart() {
        stats.restarts++;
        boot++;
        loaded.clear();
        loading.clear();
        prefixes.clear();
        warmUp.reset();
        highestFencingNumber = 0;
        nextStep.dispose();
        final List<EngineRequest> all = new ArrayList<>(running);
        all.addAll(waiting);
        running.clear();
        waiting.clear();
        stats.cut += all.size();
        all.forEach(request -> request.sink.abort());
    }

    /**
     * Returns the current load report.
     *
     * @return the report
     */
    EngineReport report() {
        final Map<String, Integer> adapters = new HashMap<>();
        loaded.forEach(adapter -> adapters.put(adapter, 0));
        running.forEach(request -> adapters.computeIfPresent(request.generation.adapter(), (key, n) -> n + 1));
        return new EngineReport(settings.name() + "-" + boot, running.size(), waiting.size(), adapters);
    }

    /**
     * Returns the counters.
     *
     * @return the counters
     */
    EngineStats stats() {
        return stats;
    }

    /**
     * Returns the injected faults.
     *
     * @return the faults
     */
    EngineFaults faults() {
        return faults;
    }

    /**
     * Returns the warm-up state.
     *
     * @return the warmth
     */
    WarmUp warmUp() {
        return warmUp;
    }

    /**
     * Returns the cache of prompt prefixes.
     *
     * @return the cache
     */
    PrefixCache prefixes() {
        return prefixes;
    }

    private boolean isAvailable(final String adapter) {
        return loaded.contains(adapter) || adapter.equals(settings.baseModel());
    }

    private int admittedCount() {
        return running.size() + waiting.size();
    }

    private boolean isFenced(final long fencingNumber) {
        if (fencingNumber == 0 || fencingNumber >= highestFencingNumber) {
            highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
            return false;
        }
        if (settings.fencing()) {
            stats.fenced++;
            return true;
        }
        stats.oldFencingTaken++;
        return false;
    }

    private Admission completeLoad(final String adapter, final int bootAtStart) {
        if (bootAtStart != boot) {
            return Admission.BUSY;
        }
        loading.remove(adapter);
        if (faults.consumeLoadFailure()) {
            stats.loadFailures++;
            return Admission.BUSY;
        }
        stats.loads++;
        loaded.add(adapter);
        return Admission.ACCEPTED;
    }

    private void abortRequestsOf(final String adapter) {
        final List<EngineRequest> aborted = new ArrayList<>();
        running.stream()
                .filter(request -> request.generation.adapter().equals(adapter))
                .forEach(aborted::add);
        waiting.stream()
                .filter(request -> request.generation.adapter().equals(adapter))
                .forEach(aborted::add);
        if (aborted.isEmpty()) {
            return;
        }
        stats.evictedWhileServing++;
        running.removeAll(aborted);
        waiting.removeAll(aborted);
        stats.cut += aborted.size();
        aborted.forEach(request -> request.sink.abort());
    }

    private void startQueuedRequests() {
        while (running.size() < settings.concurrency() && !waiting.isEmpty()) {
            final EngineRequest request = waiting.poll();
            if (faults.crashesOn(request.generation.prompt())) {
                stats.crashes++;
                waiting.add(request);
                restart();
                return;
            }
            stats.started++;
            final int promptTokens = prefixes.uncachedTokens(request.generation.adapter(), request.generation.prompt());
            final double promptNanos = PROMPT_TOKEN_TIME.toNanos() * promptTokens * warmUp.slowdown();
            request.start(timer.nanoTime() + (long) promptNanos);
            running.add(request);
        }
        if (nextStep.isDisposed() && !running.isEmpty()) {
            stepStartNanos = timer.nanoTime();
            scheduleStep();
        }
    }

    private void scheduleStep() {
        final double factor = (1 + STEP_GROWTH_PER_REQUEST * (running.size() - 1)) * warmUp.slowdown();
        final Duration length = Duration.ofNanos((long) (settings.tokenTime().toNanos() * factor));
        final long wait = stepStartNanos + length.toNanos() - timer.nanoTime();
        nextStep = timer.after(Duration.ofNanos(Math.max(0, wait))).subscribe(() -> step(length));
    }

    private void step(final Duration length) {
        final long now = timer.nanoTime();
        stepStartNanos = Math.max(stepStartNanos + length.toNanos(), now - length.toNanos());
        recordStep(length);
        if (!faults.isStalled(now)) {
            running.stream().filter(request -> request.step(now)).forEach(ignored -> stats.tokens++);
            completeFinished();
        }
        nextStep = Disposable.disposed();
        startQueuedRequests();
        if (nextStep.isDisposed() && !running.isEmpty()) {
            scheduleStep();
        }
    }

    private void recordStep(final Duration length) {
        stats.steps++;
        stats.batchSum += running.size();
        stats.busyNanos += length.toNanos();
        stats.batchNanos += (double) running.size() * length.toNanos();
        warmUp.addWork(length);
    }

    private void completeFinished() {
        final List<EngineRequest> done =
                running.stream().filter(EngineRequest::isDone).toList();
        running.removeAll(done);
        stats.finished += done.size();
        done.forEach(request -> request.sink.complete());
    }
}
