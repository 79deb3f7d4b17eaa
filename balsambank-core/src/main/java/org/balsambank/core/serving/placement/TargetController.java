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

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.time.TimerService;

/**
 * Gives orders to one start of one target: its base model, and the adapters that requests wait for.
 *
 * <p>Invariants: one order at a time is under way; nothing is ordered without the right, nor against the
 * {@link AdapterSlotLedger}. Confined to the decision loop.
 */
public final class TargetController {
    private static final int MAX_PENDING = 4;
    private static final Duration POLL = Duration.ofMillis(30);
    private static final Duration COPY_AT_HAND = Duration.ofMillis(30);
    private static final Duration FROM_STORE = Duration.ofMillis(240);
    private static final Duration AGAIN = Duration.ofMillis(60);
    private static final Duration REPORT_LAG = Duration.ofMillis(400);
    private static final Duration GRANT_HOLDS = Duration.ofMillis(260);
    private static final Duration MODEL_RETRY = Duration.ofMillis(500);
    private static final Duration REPORT_EVERY = Duration.ofMillis(2_000);
    private static final long NO_PLACE_NANOS = Duration.ofMillis(130).toNanos();
    private static final int MAX_WAITING = 64;

    private final TargetAnnouncement target;
    private final HeldClaim right;
    private final Supplier<Optional<EngineSpec>> engine;
    private final TargetOrderClient orders;
    private final InFlightRequests flights;
    private final ResidencyTable holdings;
    private final TimerService timer;
    private final DecisionLog log;
    private final AdapterSlotLedger ledger = new AdapterSlotLedger();
    private final Map<AdapterKey, AdapterDemand> wishes = new LinkedHashMap<>();
    private final Map<AdapterKey, Long> lastUse = new HashMap<>();
    private final Map<AdapterKey, Long> polls = new HashMap<>();
    private boolean asking;
    private boolean ordering;
    private long nextReportNanos;
    private long nextModelNanos;
    private long nextOrderNanos;
    private long answeredNanos;
    private boolean told;

    /**
     * Creates a keeper that first reads the report of its target.
     *
     * @param target the target
     * @param right the right to give orders
     * @param engine what the target bears, by the newest plan
     * @param orders speaks to targets
     * @param flights what is under way
     * @param holdings takes note of what the target holds
     * @param timer gives the time
     * @param log takes a line for each order
     */
    public TargetController(
            final TargetAnnouncement target,
            final HeldClaim right,
            final Supplier<Optional<EngineSpec>> engine,
            final TargetOrderClient orders,
            final InFlightRequests flights,
            final ResidencyTable holdings,
            final TimerService timer,
            final DecisionLog log) {
        this.target = Objects.requireNonNull(target);
        this.right = Objects.requireNonNull(right);
        this.engine = Objects.requireNonNull(engine);
        this.orders = Objects.requireNonNull(orders);
        this.flights = Objects.requireNonNull(flights);
        this.holdings = Objects.requireNonNull(holdings);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        nextReportNanos = timer.nanoTime();
        nextModelNanos = nextReportNanos;
    }

    /**
     * Returns the start of the target that this keeper is for.
     *
     * @return the announcement
     */
    public TargetAnnouncement target() {
        return target;
    }

    /**
     * Returns the right to give orders.
     *
     * @return the right
     */
    public HeldClaim right() {
        return right;
    }

    /**
     * Wishes an adapter.
     *
     * @param adapter the adapter
     * @param version the least version, 0 for any
     * @param missing whether the target has just said that it does not hold it
     * @param wait how long the wish lasts
     * @return whether the target holds it; never fails
     */
    public Single<ResidencyResult> ensure(
            final AdapterKey adapter, final long version, final boolean missing, final Duration wait) {
        return Single.create(emitter -> {
            if (missing && ledger.missing(adapter)) {
                nextReportNanos = timer.nanoTime();
            }
            lastUse.put(adapter, timer.nanoTime());
            final Long loaded = ledger.held().get(adapter);
            if (loaded != null && loaded >= version) {
                emitter.onSuccess(ResidencyResult.of(loaded));
                return;
            }
            if (wishes.size() >= MAX_WAITING) {
                emitter.onSuccess(ResidencyResult.refused("too many wishes"));
                return;
            }
            wishes.computeIfAbsent(adapter, ignored -> new AdapterDemand(timer.nanoTime()))
                    .add(emitter, version, timer.nanoTime() + wait.toNanos());
            step();
        });
    }

    /**
     * Tells whether something is due within milliseconds.
     *
     * @return true while an order is under way or a wish waits
     */
    boolean busy() {
        return ordering || !wishes.isEmpty() || !ledger.pending().isEmpty() || !ledger.certain();
    }

    /** Does what is due; called some times a second and after each answer. */
    public void step() {
        expireWishes();
        if (!right.valid()) {
            refuseAll("no right");
            return;
        }
        if (ordering) {
            return;
        }
        final long now = timer.nanoTime();
        if (now - nextReportNanos >= 0 && !asking) {
            readReport();
        }
        final Optional<EngineSpec> spec = engine.get();
        if (!ledger.certain() || spec.isEmpty() || now - nextOrderNanos < 0) {
            return;
        }
        if (ledger.models().isEmpty()) {
            loadModel(spec.get(), now);
            return;
        }
        next(spec.get(), now).ifPresent(this::give);
    }

    /** Ends all wishes, as this VM no longer gives orders here. */
    public void close() {
        refuseAll("no longer the one that gives orders");
    }

    private Optional<Order> next(final EngineSpec spec, final long now) {
        if (ledger.unanswered().isPresent()) {
            return ledger.unanswered();
        }
        for (final Map.Entry<AdapterKey, Long> each : ledger.pending().entrySet()) {
            if (now - polls.getOrDefault(each.getKey(), now) >= 0) {
                return Optional.of(load(each.getKey(), each.getValue()));
            }
        }
        for (final Map.Entry<AdapterKey, AdapterDemand> wish : wishes.entrySet()) {
            final AdapterKey adapter = wish.getKey();
            if (ledger.pending().containsKey(adapter) || !ledger.models().contains(adapter.model())) {
                continue;
            }
            if (ledger.pending().size() >= MAX_PENDING) {
                return Optional.empty();
            }
            if (ledger.taken() < spec.adapterSlots()) {
                return Optional.of(load(adapter, wish.getValue().version()));
            }
            final Optional<AdapterKey> victim = EvictionPolicy.victim(ledger.held(), this::inUse, this::lastUse);
            if (victim.isPresent()) {
                return victim.map(this::unload);
            }
        }
        return Optional.empty();
    }

    private boolean inUse(final AdapterKey adapter) {
        return flights.inUse(target.id(), adapter) || timer.nanoTime() - lastUse(adapter) < GRANT_HOLDS.toNanos();
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
                right.holder(),
                right.fence(),
                OptionalLong.of(ledger.sequence()));
    }

    private void give(final Order order) {
        final AdapterKey adapter = order.adapter().orElseThrow();
        final boolean poll = order.load() && ledger.pending().containsKey(adapter);
        final Duration expected = holdings.heldLately(target.id(), adapter) ? COPY_AT_HAND : FROM_STORE;
        ordering = true;
        orders.send(target, order).subscribe(result -> {
            ordering = false;
            answeredNanos = timer.nanoTime();
            if (!poll || result != OrderResult.ACCEPTED) {
                note(order, result);
            }
            ledger.answered(order, result);
            polls.put(adapter, answeredNanos + (poll ? POLL : expected).toNanos());
            answered(order, adapter, result);
            step();
        });
    }

    private void answered(final Order order, final AdapterKey adapter, final OrderResult result) {
        switch (result) {
            case HOLDS -> {
                if (order.load()) {
                    loaded(adapter);
                }
                tell();
            }
            case ACCEPTED -> tell();
            case FENCED -> {
                right.lost();
                refuseAll("fenced");
            }
            case UNKNOWN, REFUSED -> nextOrderNanos = answeredNanos + AGAIN.toNanos();
            default -> {
                nextOrderNanos = answeredNanos + AGAIN.toNanos();
                if (result == OrderResult.MISDIRECTED || result == OrderResult.INVALID) {
                    refuse(adapter, "order " + result);
                }
            }
        }
        if (!ledger.certain()) {
            nextReportNanos = answeredNanos + REPORT_LAG.toNanos();
        }
    }

    private void loaded(final AdapterKey adapter) {
        lastUse.put(adapter, timer.nanoTime());
        final AdapterDemand wish = wishes.remove(adapter);
        if (wish != null) {
            wish.end(ResidencyResult.of(ledger.held().get(adapter)));
        }
    }

    private void refuse(final AdapterKey adapter, final String reason) {
        final AdapterDemand wish = wishes.remove(adapter);
        if (wish != null) {
            wish.end(ResidencyResult.refused(reason));
        }
    }

    private void loadModel(final EngineSpec spec, final long now) {
        final Optional<ModelSpec> model = wantedModel(spec);
        if (now - nextModelNanos < 0 || model.isEmpty()) {
            return;
        }
        nextModelNanos = now + MODEL_RETRY.toNanos();
        final Order order = new Order(
                true, model.get().model(), Optional.empty(), 0, right.holder(), right.fence(), OptionalLong.empty());
        ordering = true;
        orders.send(target, order).subscribe(result -> {
            ordering = false;
            answeredNanos = timer.nanoTime();
            note(order, result);
            if (result == OrderResult.FENCED) {
                right.lost();
            } else if (result == OrderResult.HOLDS) {
                ledger.modelLoaded(model.get().model());
                nextReportNanos = answeredNanos + REPORT_LAG.toNanos();
            }
        });
    }

    private Optional<ModelSpec> wantedModel(final EngineSpec spec) {
        for (final AdapterKey wish : wishes.keySet()) {
            final Optional<ModelSpec> wished = spec.model(wish.model());
            if (wished.isPresent()) {
                return wished;
            }
        }
        return spec.models().isEmpty()
                ? Optional.empty()
                : Optional.of(spec.models().get(0));
    }

    private void readReport() {
        asking = true;
        final long askedNanos = timer.nanoTime();
        nextReportNanos = askedNanos + (ledger.certain() ? REPORT_EVERY : AGAIN).toNanos();
        orders.readStatus(target)
                .subscribe(
                        status -> {
                            asking = false;
                            final boolean settled =
                                    answeredNanos == 0 || askedNanos - answeredNanos >= REPORT_LAG.toNanos();
                            if (!ordering && settled && ledger.reported(status)) {
                                reported();
                            }
                            step();
                        },
                        error -> asking = false);
    }

    private void reported() {
        forgetUnused();
        for (final AdapterKey adapter : List.copyOf(wishes.keySet())) {
            final Long loaded = ledger.held().get(adapter);
            if (loaded != null && loaded >= wishes.get(adapter).version()) {
                loaded(adapter);
            }
        }
        tell();
    }

    private void forgetUnused() {
        final Set<AdapterKey> known = new HashSet<>(ledger.held().keySet());
        known.addAll(ledger.pending().keySet());
        known.addAll(wishes.keySet());
        lastUse.keySet().retainAll(known);
        polls.keySet().retainAll(known);
    }

    private void tell() {
        final Set<AdapterKey> coming = new HashSet<>(ledger.pending().keySet());
        coming.addAll(wishes.keySet());
        final TargetResidency now =
                new TargetResidency(right.fence(), timer.nanoTime(), ledger.held(), coming, ledger.models());
        if (!now.sameContent(holdings.of(target))) {
            told = true;
            holdings.told(target.id(), now);
        }
    }

    /**
     * Tells whether what the target holds has changed since the last call.
     *
     * @return true if so
     */
    public boolean takeChanged() {
        final boolean taken = told;
        told = false;
        return taken;
    }

    private void expireWishes() {
        final long now = timer.nanoTime();
        for (final Map.Entry<AdapterKey, AdapterDemand> each : List.copyOf(wishes.entrySet())) {
            final boolean ordered = ledger.pending().containsKey(each.getKey()) || isUnanswered(each.getKey());
            each.getValue().expire(now, ordered ? Long.MAX_VALUE : NO_PLACE_NANOS);
            if (each.getValue().over()) {
                wishes.remove(each.getKey());
            }
        }
    }

    private boolean isUnanswered(final AdapterKey adapter) {
        return ledger.unanswered()
                .flatMap(Order::adapter)
                .filter(adapter::equals)
                .isPresent();
    }

    private void refuseAll(final String reason) {
        final List<AdapterDemand> ended = new ArrayList<>(wishes.values());
        wishes.clear();
        ended.forEach(wish -> wish.end(ResidencyResult.refused(reason)));
    }

    private void note(final Order order, final OrderResult result) {
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
                .with("taken", ledger.taken())
                .with("outcome", result.name())
                .write();
    }
}
