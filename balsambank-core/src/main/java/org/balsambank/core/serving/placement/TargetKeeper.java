package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.ModelSpec;
import org.balsambank.core.serving.target.FlightBook;
import org.balsambank.core.serving.target.TargetEntry;
import org.balsambank.core.time.TimerService;

/**
 * Gives orders to one start of one target: its base model, and the adapters that requests wait for.
 *
 * <p>Invariants: one order at a time is without an answer; loaded and pending adapters are never more than the places,
 * counting an order without an answer as carried out; nothing is ordered without the right; an order names the number
 * of orders that the target has accepted, so that one carried out late is refused. Confined to the decision loop.
 */
public final class TargetKeeper {
    private static final int MAX_PENDING = 4;
    private static final Duration POLL = Duration.ofMillis(25);
    private static final Duration REPORT_LAG = Duration.ofMillis(600);
    private static final Duration GRANT_HOLDS = Duration.ofMillis(700);
    private static final Duration MODEL_RETRY = Duration.ofMillis(500);
    private static final Duration REPORT_EVERY = Duration.ofMillis(1_500);
    private static final int MAX_WAITING = 64;

    private final TargetEntry target;
    private final OrderRight right;
    private final Supplier<Optional<EngineSpec>> engine;
    private final TargetOrders orders;
    private final FlightBook flights;
    private final HoldingBook holdings;
    private final TimerService timer;
    private final DecisionLog log;
    private final Set<BaseModel> models = new HashSet<>();
    private final Map<AdapterKey, Long> held = new HashMap<>();
    private final Map<AdapterKey, Pending> pending = new LinkedHashMap<>();
    private final Map<AdapterKey, Wish> wishes = new LinkedHashMap<>();
    private final Map<AdapterKey, Long> lastUse = new HashMap<>();
    private long sequence;
    private boolean known;
    private boolean asking;
    private boolean ordering;
    private long nextReportNanos;
    private long nextModelNanos;
    private long changedNanos;
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
    public TargetKeeper(
            final TargetEntry target,
            final OrderRight right,
            final Supplier<Optional<EngineSpec>> engine,
            final TargetOrders orders,
            final FlightBook flights,
            final HoldingBook holdings,
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
    public TargetEntry target() {
        return target;
    }

    /**
     * Returns the right to give orders.
     *
     * @return the right
     */
    public OrderRight right() {
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
    public Single<Hold> ensure(
            final AdapterKey adapter, final long version, final boolean missing, final Duration wait) {
        return Single.create(emitter -> {
            if (missing && held.remove(adapter) != null) {
                refresh();
            }
            lastUse.put(adapter, timer.nanoTime());
            final Long loaded = held.get(adapter);
            if (known && loaded != null && loaded >= version) {
                emitter.onSuccess(Hold.of(loaded));
                return;
            }
            if (wishes.size() >= MAX_WAITING) {
                emitter.onSuccess(Hold.refused("too many wishes"));
                return;
            }
            wishes.computeIfAbsent(adapter, ignored -> new Wish(timer.nanoTime()))
                    .add(emitter, version, timer.nanoTime() + wait.toNanos());
            step();
        });
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
        if (!known) {
            return;
        }
        final Optional<EngineSpec> spec = engine.get();
        if (spec.isEmpty()) {
            return;
        }
        if (models.isEmpty()) {
            loadModel(spec.get(), now);
            return;
        }
        next(spec.get(), now);
    }

    /** Ends all wishes, as this VM no longer gives orders here. */
    public void close() {
        refuseAll("no longer the one that gives orders");
    }

    private void next(final EngineSpec spec, final long now) {
        for (final Map.Entry<AdapterKey, Pending> each : pending.entrySet()) {
            if (now - each.getValue().nextAskNanos >= 0) {
                order(load(each.getKey(), each.getValue().version), each.getKey());
                return;
            }
        }
        for (final Map.Entry<AdapterKey, Wish> wish : wishes.entrySet()) {
            if (pending.containsKey(wish.getKey())) {
                continue;
            }
            if (!models.contains(wish.getKey().model())) {
                continue;
            }
            if (pending.size() >= MAX_PENDING) {
                return;
            }
            final boolean replaces = held.containsKey(wish.getKey());
            if (replaces || held.size() + pendingNew() < spec.adapterPlaces()) {
                order(load(wish.getKey(), wish.getValue().version), wish.getKey());
                return;
            }
            final Optional<AdapterKey> victim = PlaceChoice.victim(held, this::inUse, this::lastUse);
            if (victim.isPresent()) {
                order(unload(victim.get()), victim.get());
                return;
            }
        }
    }

    private long pendingNew() {
        return pending.keySet().stream().filter(each -> !held.containsKey(each)).count();
    }

    private boolean inUse(final AdapterKey adapter) {
        return pending.containsKey(adapter)
                || flights.inUse(target.id(), adapter)
                || timer.nanoTime() - lastUse(adapter) < GRANT_HOLDS.toNanos();
    }

    private long lastUse(final AdapterKey adapter) {
        return lastUse.getOrDefault(
                adapter, timer.nanoTime() - Duration.ofMinutes(1).toNanos());
    }

    private Order load(final AdapterKey adapter, final long version) {
        return new Order(
                true,
                adapter.model(),
                Optional.of(adapter),
                version,
                right.holder(),
                right.fence(),
                pending.containsKey(adapter) ? OptionalLong.empty() : OptionalLong.of(sequence));
    }

    private Order unload(final AdapterKey adapter) {
        return new Order(
                false,
                adapter.model(),
                Optional.of(adapter),
                0,
                right.holder(),
                right.fence(),
                OptionalLong.of(sequence));
    }

    private void order(final Order order, final AdapterKey adapter) {
        ordering = true;
        final boolean poll = order.load() && pending.containsKey(adapter);
        orders.give(target, order).subscribe(result -> {
            ordering = false;
            if (!poll) {
                note(order, result);
            }
            if (order.load()) {
                loadAnswered(adapter, order.version(), result);
            } else {
                unloadAnswered(adapter, result);
            }
            step();
        });
    }

    private void loadAnswered(final AdapterKey adapter, final long version, final OrderResult result) {
        final long now = timer.nanoTime();
        switch (result) {
            case HOLDS -> loaded(adapter, version);
            case ACCEPTED -> {
                final Pending before = pending.get(adapter);
                if (before == null) {
                    sequence++;
                    pending.put(adapter, new Pending(version, now + POLL.toNanos()));
                    tell();
                } else {
                    before.nextAskNanos = now + POLL.toNanos();
                }
            }
            case UNKNOWN -> {
                pending.computeIfAbsent(adapter, ignored -> new Pending(version, 0)).nextAskNanos =
                        now + REPORT_LAG.toNanos();
                refresh();
            }
            default -> failed(adapter, result);
        }
    }

    private void unloadAnswered(final AdapterKey adapter, final OrderResult result) {
        switch (result) {
            case HOLDS -> {
                sequence++;
                held.remove(adapter);
                tell();
            }
            case ACCEPTED -> {
                sequence++;
                held.remove(adapter);
                refresh();
            }
            default -> failed(adapter, result);
        }
    }

    private void loaded(final AdapterKey adapter, final long version) {
        pending.remove(adapter);
        held.put(adapter, Math.max(version, held.getOrDefault(adapter, 0L)));
        lastUse.put(adapter, timer.nanoTime());
        final Wish wish = wishes.remove(adapter);
        if (wish != null) {
            wish.end(Hold.of(held.get(adapter)));
        }
        tell();
    }

    private void failed(final AdapterKey adapter, final OrderResult result) {
        if (result == OrderResult.FENCED) {
            right.lost();
            refuseAll("fenced");
            return;
        }
        final Pending waiting = pending.get(adapter);
        if (waiting != null && (result == OrderResult.BUSY || result == OrderResult.REFUSED)) {
            waiting.nextAskNanos = timer.nanoTime() + POLL.toNanos();
            return;
        }
        pending.remove(adapter);
        final Wish wish = wishes.remove(adapter);
        if (wish != null) {
            wish.end(Hold.refused("order " + result));
        }
        refresh();
    }

    private void loadModel(final EngineSpec spec, final long now) {
        if (now - nextModelNanos < 0) {
            return;
        }
        final Optional<ModelSpec> model = wantedModel(spec);
        if (model.isEmpty()) {
            return;
        }
        nextModelNanos = now + MODEL_RETRY.toNanos();
        final Order order = new Order(
                true, model.get().model(), Optional.empty(), 0, right.holder(), right.fence(), OptionalLong.empty());
        ordering = true;
        orders.give(target, order).subscribe(result -> {
            ordering = false;
            note(order, result);
            if (result == OrderResult.FENCED) {
                right.lost();
            } else if (result == OrderResult.HOLDS) {
                models.add(model.get().model());
                refresh();
            }
            step();
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

    private void refresh() {
        changedNanos = timer.nanoTime();
        nextReportNanos = changedNanos + REPORT_LAG.toNanos();
    }

    private void readReport() {
        asking = true;
        final long askedNanos = timer.nanoTime();
        nextReportNanos = askedNanos + REPORT_EVERY.toNanos();
        orders.report(target)
                .subscribe(
                        status -> {
                            asking = false;
                            if (!ordering && askedNanos - changedNanos >= (known ? REPORT_LAG.toNanos() : 0)) {
                                reported(status);
                            }
                            step();
                        },
                        error -> asking = false);
    }

    private void reported(final TargetStatus status) {
        known = true;
        sequence = status.sequence();
        models.clear();
        models.addAll(status.models());
        held.clear();
        held.putAll(status.adapters());
        for (final AdapterKey each : status.pending()) {
            pending.computeIfAbsent(each, ignored -> new Pending(0, timer.nanoTime()));
        }
        pending.keySet()
                .removeIf(each ->
                        !status.pending().contains(each) && !status.adapters().containsKey(each));
        final Iterator<Map.Entry<AdapterKey, Wish>> waiting = wishes.entrySet().iterator();
        while (waiting.hasNext()) {
            final Map.Entry<AdapterKey, Wish> wish = waiting.next();
            final Long loaded = held.get(wish.getKey());
            if (loaded != null && loaded >= wish.getValue().version) {
                waiting.remove();
                pending.remove(wish.getKey());
                wish.getValue().end(Hold.of(loaded));
            }
        }
        tell();
    }

    private void tell() {
        changedNanos = timer.nanoTime();
        told = true;
        holdings.told(target.id(), new HeldAdapters(right.fence(), held, pending.keySet(), models));
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
        final List<AdapterKey> empty = new ArrayList<>();
        wishes.forEach((adapter, wish) -> {
            wish.expire(now);
            if (wish.waiting.isEmpty()) {
                empty.add(adapter);
            }
        });
        empty.forEach(wishes::remove);
    }

    private void refuseAll(final String reason) {
        final List<Wish> ended = new ArrayList<>(wishes.values());
        wishes.clear();
        ended.forEach(wish -> wish.end(Hold.refused(reason)));
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
                .with("outcome", result.name())
                .write();
    }

    /** A load that the target has accepted. */
    private static final class Pending {
        private final long version;
        private long nextAskNanos;

        Pending(final long version, final long nextAskNanos) {
            this.version = version;
            this.nextAskNanos = nextAskNanos;
        }
    }

    /** Those who wait for one adapter. */
    private static final class Wish {
        private final long sinceNanos;
        private final Map<SingleEmitter<Hold>, Long> waiting = new LinkedHashMap<>();
        private long version;

        Wish(final long sinceNanos) {
            this.sinceNanos = sinceNanos;
        }

        void add(final SingleEmitter<Hold> emitter, final long wanted, final long untilNanos) {
            version = Math.max(version, wanted);
            waiting.put(emitter, untilNanos);
        }

        void expire(final long nowNanos) {
            final List<SingleEmitter<Hold>> late = new ArrayList<>();
            waiting.forEach((emitter, until) -> {
                if (nowNanos - until >= 0) {
                    late.add(emitter);
                }
            });
            final String reason =
                    "no place for " + Duration.ofNanos(nowNanos - sinceNanos).toMillis() + " ms";
            late.forEach(emitter -> {
                waiting.remove(emitter);
                emitter.onSuccess(Hold.refused(reason));
            });
        }

        void end(final Hold hold) {
            final List<SingleEmitter<Hold>> all = new ArrayList<>(waiting.keySet());
            waiting.clear();
            all.forEach(emitter -> emitter.onSuccess(hold));
        }
    }
}
