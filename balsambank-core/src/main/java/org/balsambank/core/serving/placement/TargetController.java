package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.time.TimerService;

/**
 * Controls one target until it restarts: loads its base model and the adapters that requests wait for.
 *
 * <p>Invariants: at most one order is in progress; no order is sent without a valid claim or contrary to the
 * {@link AdapterSlotLedger}. Confined to the decision loop.
 */
public final class TargetController {
    private static final int MAX_PARALLEL_LOADS = 4;
    private static final Duration LOAD_POLL_INTERVAL = Duration.ofMillis(30);
    private static final Duration LOCAL_COPY_LOAD_TIME = Duration.ofMillis(30);
    private static final Duration STORE_LOAD_TIME = Duration.ofMillis(240);
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);
    private static final Duration STATUS_LAG = Duration.ofMillis(400);
    private static final Duration MIN_RESIDENCY_AFTER_USE = Duration.ofMillis(260);
    private static final Duration MODEL_LOAD_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration STATUS_INTERVAL = Duration.ofMillis(2_000);
    private static final Duration UNRESPONSIVE_STATUS_INTERVAL = Duration.ofMillis(300);
    private static final String UNRESPONSIVE = "the target does not respond";
    private static final long MAX_SLOT_WAIT_NANOS = Duration.ofMillis(130).toNanos();
    /** The maximum wait for a slot while an order has no response yet: other targets may be no faster. */
    private static final long MAX_SLOT_WAIT_BEHIND_ORDER_NANOS =
            Duration.ofMillis(400).toNanos();

    private static final int MAX_DEMANDED_ADAPTERS = 64;

    private final TargetAnnouncement target;
    private final HeldClaim claim;
    private final Supplier<Optional<EngineSpec>> engineSpec;
    private final TargetOrderClient orderClient;
    private final InFlightRequests inFlight;
    private final ResidencyTable residency;
    private final TimerService timer;
    private final DecisionLog log;
    private final AdapterSlotLedger ledger = new AdapterSlotLedger();
    private final Map<AdapterKey, AdapterDemand> demands = new LinkedHashMap<>();
    private final Map<AdapterKey, Long> lastUse = new HashMap<>();
    private final Map<AdapterKey, Long> nextPollNanos = new HashMap<>();
    private final Set<AdapterKey> pollsInProgress = new HashSet<>();
    private Optional<AdapterKey> evictingFor = Optional.empty();
    private boolean readingStatus;
    private boolean orderInProgress;
    private long nextStatusNanos;
    private long nextModelLoadNanos;
    private long nextOrderNanos;
    private long lastResultNanos;
    private boolean residencyChanged;
    private boolean responsive = true;
    private long lastResponseNanos;
    private long ordersSent;

    /**
     * Creates a controller that starts by reading the status report of its target.
     *
     * @param target the target
     * @param claim the claim of this VM on the target
     * @param engineSpec the capacity of the target according to the current plan
     * @param orderClient sends orders to targets and reads their status
     * @param inFlight the requests in flight
     * @param residency is updated with the residency of the target
     * @param timer the timer service
     * @param log the decision log; gets a line for each order
     */
    public TargetController(
            final TargetAnnouncement target,
            final HeldClaim claim,
            final Supplier<Optional<EngineSpec>> engineSpec,
            final TargetOrderClient orderClient,
            final InFlightRequests inFlight,
            final ResidencyTable residency,
            final TimerService timer,
            final DecisionLog log) {
        this.target = Objects.requireNonNull(target);
        this.claim = Objects.requireNonNull(claim);
        this.engineSpec = Objects.requireNonNull(engineSpec);
        this.orderClient = Objects.requireNonNull(orderClient);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.residency = Objects.requireNonNull(residency);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        nextStatusNanos = timer.nanoTime();
        nextModelLoadNanos = nextStatusNanos;
        lastResponseNanos = nextStatusNanos;
    }

    /**
     * Returns the announcement of the target, which identifies its current start.
     *
     * @return the announcement
     */
    public TargetAnnouncement target() {
        return target;
    }

    /**
     * Returns the claim of this VM on the target.
     *
     * @return the claim, valid or not
     */
    public HeldClaim claim() {
        return claim;
    }

    /**
     * Requests that an adapter be resident.
     *
     * @param adapter the adapter
     * @param version the minimum version, 0 for any
     * @param missing whether the target has just responded that the adapter is not resident
     * @param wait how long to wait for it
     * @return whether the adapter is resident; never fails
     */
    public Single<ResidencyResult> ensure(
            final AdapterKey adapter, final long version, final boolean missing, final Duration wait) {
        return Single.create(emitter -> {
            if (missing && ledger.recordMissing(adapter)) {
                nextStatusNanos = timer.nanoTime();
            }
            lastUse.put(adapter, timer.nanoTime());
            final Long loaded = ledger.loaded().get(adapter);
            if (loaded != null && loaded >= version) {
                emitter.onSuccess(ResidencyResult.atVersion(loaded));
                return;
            }
            if (!responsive) {
                emitter.onSuccess(ResidencyResult.unavailable(UNRESPONSIVE));
                return;
            }
            if (neverFits(adapter)) {
                emitter.onSuccess(ResidencyResult.unavailable("no room beside the base model"));
                return;
            }
            if (demands.size() >= MAX_DEMANDED_ADAPTERS) {
                emitter.onSuccess(ResidencyResult.unavailable("too many wishes"));
                return;
            }
            demands.computeIfAbsent(adapter, ignored -> new AdapterDemand(timer.nanoTime()))
                    .add(emitter, version, timer.nanoTime() + wait.toNanos());
            step();
        });
    }

    /** Returns whether the target has no room for an adapter even without its other adapters. */
    private boolean neverFits(final AdapterKey adapter) {
        return ledger.models().contains(adapter.model())
                && engineSpec
                        .get()
                        .filter(spec -> !new TargetOccupancy(spec, ledger.models()).fits(adapter))
                        .isPresent();
    }

    /**
     * Returns whether {@link #step()} has to be called again within milliseconds.
     *
     * @return true while an order is in progress, requests wait for adapters, adapters are being loaded or a status
     *     report is needed
     */
    boolean busy() {
        return orderInProgress || !demands.isEmpty() || !ledger.pending().isEmpty() || !ledger.confirmed();
    }

    /** Performs the actions that are due; called several times a second and after each response. */
    public void step() {
        expireDemands();
        if (!claim.valid()) {
            failAll("no right");
            return;
        }
        final long now = timer.nanoTime();
        if (now - nextStatusNanos >= 0 && !readingStatus && (!orderInProgress || !responsive)) {
            readStatus();
        }
        if (!responsive || !ledger.confirmed()) {
            return;
        }
        sendDuePolls(now);
        final Optional<EngineSpec> spec = engineSpec.get();
        if (orderInProgress || spec.isEmpty() || now - nextOrderNanos < 0) {
            return;
        }
        if (ledger.models().isEmpty()) {
            loadModel(spec.get(), now);
            return;
        }
        nextOrder(spec.get()).ifPresent(this::send);
    }

    /** Fails all waiting requests, as this VM no longer controls the target. */
    public void close() {
        failAll("no longer the one that gives orders");
    }

    private Optional<Order> nextOrder(final EngineSpec spec) {
        if (ledger.unanswered().isPresent()) {
            return unansweredOrder(spec);
        }
        final TargetOccupancy afterUnloads = ledger.occupancyWithout(spec, evicted -> false);
        for (final Map.Entry<AdapterKey, AdapterDemand> demand : demands.entrySet()) {
            final AdapterKey adapter = demand.getKey();
            if (ledger.pending().containsKey(adapter) || !ledger.models().contains(adapter.model())) {
                continue;
            }
            if (ledger.pending().size() >= MAX_PARALLEL_LOADS) {
                return Optional.empty();
            }
            if (ledger.occupancy(spec).fits(adapter)) {
                evictingFor = evictingFor.filter(other -> !other.equals(adapter));
                return Optional.of(load(adapter, demand.getValue().version()));
            }
            if (afterUnloads.fits(adapter)) {
                afterUnloads.add(adapter);
                continue;
            }
            final Optional<AdapterKey> victim = victimFor(adapter, spec);
            if (victim.isPresent()) {
                evictingFor = Optional.of(adapter);
                return victim.map(this::unload);
            }
        }
        return Optional.empty();
    }

    /** Returns the adapter to evict for another one, unless even all evictions would not make room for it. */
    private Optional<AdapterKey> victimFor(final AdapterKey adapter, final EngineSpec spec) {
        return ledger.occupancyWithout(spec, loaded -> !inUse(loaded)).fits(adapter)
                ? EvictionPolicy.victim(ledger.loaded(), this::inUse, this::lastUse)
                : Optional.empty();
    }

    /** Returns the order to be sent again, unless the plan has changed since and the target has no room for it. */
    private Optional<Order> unansweredOrder(final EngineSpec spec) {
        final Order order = ledger.unanswered().orElseThrow();
        if (order.load() && !fits(order, ledger.occupancy(spec))) {
            ledger.abandonUnanswered();
            nextStatusNanos = lastResultNanos + STATUS_LAG.toNanos();
            return Optional.empty();
        }
        return ledger.unanswered();
    }

    private static boolean fits(final Order order, final TargetOccupancy occupancy) {
        return order.adapter().isPresent() ? occupancy.fits(order.adapter().get()) : occupancy.fits(order.model());
    }

    private boolean inUse(final AdapterKey adapter) {
        return inFlight.inUse(target.id(), adapter)
                || timer.nanoTime() - lastUse(adapter) < MIN_RESIDENCY_AFTER_USE.toNanos();
    }

    private long lastUse(final AdapterKey adapter) {
        return lastUse.getOrDefault(
                adapter, timer.nanoTime() - Duration.ofMinutes(1).toNanos());
    }

    private Order load(final AdapterKey adapter, final long version) {
        return order(true, adapter, version);
    }

    private Order unload(final AdapterKey adapter) {
        return order(false, adapter, 0);
    }

    private Order order(final boolean load, final AdapterKey adapter, final long version) {
        return new Order(
                load,
                adapter.model(),
                Optional.of(adapter),
                version,
                claim.holder(),
                claim.fence(),
                OptionalLong.of(ledger.sequence()));
    }

    private void send(final Order order) {
        final AdapterKey adapter = order.adapter().orElseThrow();
        final Duration expected =
                residency.recentlyResident(target.id(), adapter) ? LOCAL_COPY_LOAD_TIME : STORE_LOAD_TIME;
        orderInProgress = true;
        ordersSent++;
        orderClient.send(target, order).subscribe(result -> {
            orderInProgress = false;
            lastResultNanos = timer.nanoTime();
            logOrder(order, result);
            recordResponse(result);
            ledger.recordResult(order, result);
            nextPollNanos.put(adapter, lastResultNanos + expected.toNanos());
            handleResult(order, adapter, result);
            step();
        });
    }

    /** Sends the loads of pending adapters again, to learn whether they are complete. */
    private void sendDuePolls(final long now) {
        for (final Map.Entry<AdapterKey, Long> each :
                List.copyOf(ledger.pending().entrySet())) {
            final AdapterKey adapter = each.getKey();
            final boolean due = now - nextPollNanos.getOrDefault(adapter, now) >= 0;
            if (due && !isUnanswered(adapter) && pollsInProgress.add(adapter)) {
                sendPoll(load(adapter, each.getValue()), adapter);
            }
        }
    }

    /** Polls do not wait for orders and orders not for polls: an unanswered one would hold up all others. */
    private void sendPoll(final Order order, final AdapterKey adapter) {
        final boolean orderInProgressBefore = orderInProgress;
        final long ordersSentBefore = ordersSent;
        orderClient.send(target, order).subscribe(result -> {
            pollsInProgress.remove(adapter);
            recordResponse(result);
            if (!ledger.pending().containsKey(adapter)) {
                return;
            }
            if (result != OrderResult.ACCEPTED) {
                logOrder(order, result);
            }
            final boolean overtaken = orderInProgressBefore || ordersSent != ordersSentBefore;
            ledger.recordPollResult(order, result, overtaken);
            if (result == OrderResult.HOLDS) {
                lastResultNanos = timer.nanoTime();
            }
            nextPollNanos.put(adapter, timer.nanoTime() + LOAD_POLL_INTERVAL.toNanos());
            handleResult(order, adapter, result);
            step();
        });
    }

    private void recordResponse(final OrderResult result) {
        if (result != OrderResult.UNKNOWN && result != OrderResult.REFUSED) {
            responded();
            return;
        }
        if (!readingStatus) {
            nextStatusNanos = timer.nanoTime();
        }
    }

    private void responded() {
        lastResponseNanos = timer.nanoTime();
        if (!responsive) {
            responsive = true;
            logResponsive();
            publish();
        }
    }

    private void markUnresponsive() {
        if (responsive) {
            responsive = false;
            logResponsive();
            failAll(UNRESPONSIVE);
            publish();
        }
    }

    private void logResponsive() {
        log.line(responsive ? "target_responds" : "target_unresponsive")
                .with("target", target.id().value())
                .write();
    }

    private void handleResult(final Order order, final AdapterKey adapter, final OrderResult result) {
        switch (result) {
            case HOLDS -> {
                if (order.load()) {
                    onLoaded(adapter);
                }
                publish();
            }
            case ACCEPTED -> publish();
            case FENCED -> {
                claim.markLost();
                failAll("fenced");
            }
            case UNKNOWN -> {}
            case REFUSED -> nextOrderNanos = timer.nanoTime() + RETRY_DELAY.toNanos();
            default -> {
                nextOrderNanos = timer.nanoTime() + RETRY_DELAY.toNanos();
                if (result == OrderResult.MISDIRECTED || result == OrderResult.INVALID) {
                    fail(adapter, "order " + result);
                }
            }
        }
        if (!ledger.confirmed() || ledger.hasUnloading()) {
            nextStatusNanos = lastResultNanos + STATUS_LAG.toNanos();
        }
    }

    private void onLoaded(final AdapterKey adapter) {
        lastUse.put(adapter, timer.nanoTime());
        final AdapterDemand demand = demands.remove(adapter);
        if (demand != null) {
            demand.complete(ResidencyResult.atVersion(ledger.loaded().get(adapter)));
        }
    }

    private void fail(final AdapterKey adapter, final String reason) {
        final AdapterDemand demand = demands.remove(adapter);
        if (demand != null) {
            demand.complete(ResidencyResult.unavailable(reason));
        }
    }

    private void loadModel(final EngineSpec spec, final long now) {
        if (now - nextModelLoadNanos < 0) {
            return;
        }
        final Optional<Order> next = ledger.unanswered().isPresent()
                ? unansweredOrder(spec)
                : ledger.modelBeingLoaded().or(() -> modelToLoad(spec)).map(this::load);
        if (next.isPresent()) {
            nextModelLoadNanos = now + MODEL_LOAD_RETRY_DELAY.toNanos();
            sendModelLoad(next.get());
        }
    }

    private Order load(final BaseModel model) {
        return new Order(
                true, model, Optional.empty(), 0, claim.holder(), claim.fence(), OptionalLong.of(ledger.sequence()));
    }

    private void sendModelLoad(final Order order) {
        orderInProgress = true;
        orderClient.send(target, order).subscribe(result -> {
            orderInProgress = false;
            lastResultNanos = timer.nanoTime();
            logOrder(order, result);
            ledger.recordModelResult(order, result);
            if (result == OrderResult.FENCED) {
                claim.markLost();
            } else if (!ledger.confirmed()) {
                nextStatusNanos = lastResultNanos + STATUS_LAG.toNanos();
            }
        });
    }

    private Optional<BaseModel> modelToLoad(final EngineSpec spec) {
        return Stream.concat(
                        demands.keySet().stream().map(AdapterKey::model),
                        spec.models().stream().map(ModelSpec::model))
                .filter(model ->
                        spec.model(model).isPresent() && ledger.occupancy(spec).fits(model))
                .findFirst();
    }

    private void readStatus() {
        readingStatus = true;
        final long requestedNanos = timer.nanoTime();
        nextStatusNanos = requestedNanos + statusInterval().toNanos();
        orderClient
                .readStatus(target)
                .subscribe(
                        status -> {
                            readingStatus = false;
                            responded();
                            final boolean settled =
                                    lastResultNanos == 0 || requestedNanos - lastResultNanos >= STATUS_LAG.toNanos();
                            if (!orderInProgress && settled && ledger.applyStatus(status)) {
                                onStatus();
                            }
                            step();
                        },
                        error -> {
                            readingStatus = false;
                            if (lastResponseNanos - requestedNanos < 0) {
                                markUnresponsive();
                            }
                        });
    }

    private Duration statusInterval() {
        if (!responsive) {
            return UNRESPONSIVE_STATUS_INTERVAL;
        }
        return ledger.confirmed() ? STATUS_INTERVAL : RETRY_DELAY;
    }

    private void onStatus() {
        pruneUnused();
        for (final AdapterKey adapter : List.copyOf(demands.keySet())) {
            final Long loaded = ledger.loaded().get(adapter);
            if (loaded != null && loaded >= demands.get(adapter).version()) {
                onLoaded(adapter);
            }
        }
        publish();
    }

    private void pruneUnused() {
        final Set<AdapterKey> retained = new HashSet<>(ledger.loaded().keySet());
        retained.addAll(ledger.pending().keySet());
        retained.addAll(demands.keySet());
        lastUse.keySet().retainAll(retained);
        nextPollNanos.keySet().retainAll(retained);
    }

    private void publish() {
        final Set<AdapterKey> expected = new HashSet<>(ledger.pending().keySet());
        expected.addAll(demands.keySet());
        final TargetResidency now = new TargetResidency(
                claim.fence(), timer.nanoTime(), ledger.loaded(), expected, ledger.models(), responsive);
        if (!now.sameContent(residency.of(target))) {
            residencyChanged = true;
            residency.recordReport(target.id(), now);
        }
    }

    /**
     * Returns whether the residency of the target has changed since the last call.
     *
     * @return true if the residency table was updated
     */
    public boolean drainChanged() {
        final boolean result = residencyChanged;
        residencyChanged = false;
        return result;
    }

    private void expireDemands() {
        final long now = timer.nanoTime();
        final long maxSlotWaitNanos = orderInProgress || ledger.unanswered().isPresent()
                ? MAX_SLOT_WAIT_BEHIND_ORDER_NANOS
                : MAX_SLOT_WAIT_NANOS;
        for (final Map.Entry<AdapterKey, AdapterDemand> each : List.copyOf(demands.entrySet())) {
            final boolean ordered = ledger.pending().containsKey(each.getKey())
                    || isUnanswered(each.getKey())
                    || evictingFor.filter(each.getKey()::equals).isPresent();
            each.getValue().expire(now, ordered ? Long.MAX_VALUE : maxSlotWaitNanos);
            if (each.getValue().isEmpty()) {
                demands.remove(each.getKey());
                evictingFor = evictingFor.filter(adapter -> !adapter.equals(each.getKey()));
            }
        }
    }

    private boolean isUnanswered(final AdapterKey adapter) {
        return ledger.unanswered()
                .flatMap(Order::adapter)
                .filter(adapter::equals)
                .isPresent();
    }

    private void failAll(final String reason) {
        final List<AdapterDemand> failed = new ArrayList<>(demands.values());
        demands.clear();
        failed.forEach(demand -> demand.complete(ResidencyResult.unavailable(reason)));
    }

    private void logOrder(final Order order, final OrderResult result) {
        log.line("order")
                .with("target", target.id().value())
                .with("operation", order.load() ? "load" : "unload")
                .with(
                        "what",
                        order.adapter()
                                .map(AdapterKey::toString)
                                .orElse(order.model().value()))
                .with("version", order.version())
                .with("fence", order.fence())
                .with("sequence", order.expectedSequence().orElse(-1))
                .with("taken", ledger.occupiedSlots())
                .with("taken_bytes", takenBytes())
                .with(
                        "room_bytes",
                        engineSpec
                                .get()
                                .map(spec -> spec.weightsMemory().bytes())
                                .orElse(0L))
                .with("outcome", result.name())
                .write();
    }

    /** Returns the memory that all weights take, as far as the plan names their sizes. */
    private long takenBytes() {
        return engineSpec
                .get()
                .map(spec -> ledger.occupancy(spec).memory().bytes())
                .orElse(0L);
    }
}
