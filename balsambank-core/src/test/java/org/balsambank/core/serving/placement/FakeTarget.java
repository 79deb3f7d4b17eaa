package org.balsambank.core.serving.placement;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * A fake target that executes orders and reports its status with a lag. Some orders get no response and are executed
 * late; some loads that are asked for again, and some reports, are answered by a copy of the response before.
 *
 * <p>Confined to one thread. Counts each time that its adapters exceed its adapter slots, or that the weights of its
 * models and adapters exceed its memory, at which a real target would crash.
 */
public final class FakeTarget implements TargetOrderClient {
    private static final long STATUS_LAG_MILLIS = 200;
    private static final long LOAD_MILLIS = 250;
    private static final long MODEL_LOAD_MILLIS = 700;
    private static final int MAX_PARALLEL_LOADS = 4;

    private final TestScheduler clock;
    private final SplittableRandom random;
    private final int slots;
    private final Map<AdapterKey, Long> resident = new HashMap<>();
    private final Set<AdapterKey> pending = new HashSet<>();
    private final Set<BaseModel> models = new HashSet<>();
    private final Deque<TimedStatus> history = new ArrayDeque<>();
    private final Map<Order, Boolean> accepted = new HashMap<>();
    private Optional<EngineSpec> spec = Optional.empty();
    private Optional<BaseModel> modelBeingLoaded = Optional.empty();
    private Optional<TargetStatus> lastReport = Optional.empty();
    private double delayedShare;
    private double copiedShare;
    private boolean silent;
    private long responseTimeoutMillis = 500;
    private long unloadMillis;
    private int unloadCount;
    private long sequence;
    private long fence;
    private int overflows;
    private int orderCount;
    private int loadCount;

    public FakeTarget(final TestScheduler clock, final long seed, final int slots, final BaseModel model) {
        this.clock = clock;
        this.random = new SplittableRandom(seed);
        this.slots = slots;
        models.add(model);
        recordStatus();
    }

    /** Sets the share of orders that get no response and are executed 2 to 12 s later. */
    public void delayOrders(final double share) {
        delayedShare = share;
    }

    /** Sets the share of the repeated loads and reports that are answered by a copy of the response before. */
    public void copyResponses(final double share) {
        copiedShare = share;
    }

    /** Sets how long a caller waits for a response. */
    public void setResponseTimeoutMillis(final long newTimeoutMillis) {
        responseTimeoutMillis = newTimeoutMillis;
    }

    /** Sets how long an unload waits for the runs of its adapter; 0 for none. */
    public void setUnloadMillis(final long newUnloadMillis) {
        unloadMillis = newUnloadMillis;
    }

    /** Sets whether the target responds to nothing. */
    public void setSilent(final boolean newSilent) {
        silent = newSilent;
    }

    /** Sets the memory of the target and what models and adapters take of it. */
    public void setSpec(final EngineSpec newSpec) {
        spec = Optional.of(newSpec);
    }

    /** Loses all models and adapters, as at a restart. */
    public void restartEmpty() {
        sequence = 0;
        models.clear();
        pending.clear();
        resident.clear();
        accepted.clear();
        history.clear();
        recordStatus();
    }

    /** Drops an adapter, loaded or not, as if another holder had ordered it. */
    public void drop(final AdapterKey adapter) {
        sequence++;
        pending.remove(adapter);
        resident.remove(adapter);
        recordStatus();
    }

    /** Returns how often an order would have crashed a real target. */
    public int overflows() {
        return overflows;
    }

    public int orderCount() {
        return orderCount;
    }

    /** Returns how many unloads it has accepted. */
    public int unloadCount() {
        return unloadCount;
    }

    /** Returns how many loads of adapters it has begun. */
    public int loadCount() {
        return loadCount;
    }

    public Set<BaseModel> models() {
        return models;
    }

    public Set<AdapterKey> resident() {
        return resident.keySet();
    }

    @Override
    public Single<OrderResult> send(final TargetAnnouncement target, final Order order) {
        return Single.defer(() -> {
            orderCount++;
            if (silent) {
                return timedOut().map(tick -> OrderResult.UNKNOWN);
            }
            if (random.nextDouble() < delayedShare) {
                final long delayMillis = 2_000 + random.nextInt(10_000);
                clock.scheduleDirect(() -> execute(order), delayMillis, TimeUnit.MILLISECONDS);
                return timedOut().map(tick -> OrderResult.UNKNOWN);
            }
            return Single.timer(2, TimeUnit.MILLISECONDS, clock).map(tick -> respond(order));
        });
    }

    private Single<Long> timedOut() {
        return Single.timer(responseTimeoutMillis, TimeUnit.MILLISECONDS, clock);
    }

    /** Executes an order. A copy answers it only if the response before was to the same load, and accepted it. */
    private OrderResult respond(final Order order) {
        final OrderResult result = execute(order);
        final Order call = withoutSequence(order);
        if (accepted.remove(call) != null && random.nextDouble() < copiedShare) {
            return OrderResult.ACCEPTED;
        }
        if (order.load() && result == OrderResult.ACCEPTED) {
            accepted.put(call, true);
        }
        return result;
    }

    private static Order withoutSequence(final Order order) {
        return new Order(
                order.load(),
                order.model(),
                order.adapter(),
                order.version(),
                order.holder(),
                order.fence(),
                OptionalLong.empty());
    }

    @Override
    public Single<TargetStatus> readStatus(final TargetAnnouncement target) {
        if (silent) {
            return timedOut().flatMap(tick -> Single.error(new IOException("no response")));
        }
        return Single.timer(2, TimeUnit.MILLISECONDS, clock).map(tick -> {
            final TargetStatus report = laggingStatus();
            final Optional<TargetStatus> before = lastReport;
            final boolean copied = before.isPresent() && random.nextDouble() < copiedShare;
            lastReport = copied ? Optional.empty() : Optional.of(report);
            return copied ? before.get() : report;
        });
    }

    private OrderResult execute(final Order order) {
        if (order.fence() < fence) {
            return OrderResult.FENCED;
        }
        fence = order.fence();
        final boolean overtaken =
                order.expectedSequence().isPresent() && order.expectedSequence().getAsLong() != sequence;
        if (overtaken || modelBeingLoaded.isPresent()) {
            return OrderResult.BUSY;
        }
        final Optional<AdapterKey> adapter = order.adapter();
        if (adapter.isEmpty()) {
            return loadModel(order.model());
        }
        return order.load() ? load(adapter.get(), order.version()) : unload(adapter.get());
    }

    private OrderResult loadModel(final BaseModel model) {
        if (models.contains(model)) {
            return OrderResult.HOLDS;
        }
        sequence++;
        modelBeingLoaded = Optional.of(model);
        countOverflow();
        clock.scheduleDirect(() -> modelLoaded(model), MODEL_LOAD_MILLIS, TimeUnit.MILLISECONDS);
        recordStatus();
        return OrderResult.ACCEPTED;
    }

    private void modelLoaded(final BaseModel model) {
        modelBeingLoaded = Optional.empty();
        models.add(model);
        recordStatus();
    }

    private OrderResult load(final AdapterKey adapter, final long version) {
        final Long known = resident.get(adapter);
        if (known != null && known >= version) {
            return OrderResult.HOLDS;
        }
        if (pending.contains(adapter)) {
            return OrderResult.ACCEPTED;
        }
        if (pending.size() >= MAX_PARALLEL_LOADS) {
            return OrderResult.BUSY;
        }
        sequence++;
        loadCount++;
        pending.add(adapter);
        countOverflow();
        clock.scheduleDirect(() -> loaded(adapter, version), LOAD_MILLIS, TimeUnit.MILLISECONDS);
        recordStatus();
        return OrderResult.ACCEPTED;
    }

    private void countOverflow() {
        if (resident.size() + pending.size() > slots
                || spec.filter(this::exceeded).isPresent()) {
            overflows++;
        }
    }

    private boolean exceeded(final EngineSpec limits) {
        long takenBytes = 0;
        final Set<BaseModel> ordered = new HashSet<>(models);
        modelBeingLoaded.ifPresent(ordered::add);
        for (final BaseModel model : ordered) {
            takenBytes += limits.model(model).orElseThrow().weights().bytes();
        }
        for (final Set<AdapterKey> adapters : List.of(resident.keySet(), pending)) {
            for (final AdapterKey adapter : adapters) {
                takenBytes += limits.model(adapter.model())
                        .orElseThrow()
                        .adapterWeights()
                        .bytes();
            }
        }
        return takenBytes > limits.weightsMemory().bytes();
    }

    private void loaded(final AdapterKey adapter, final long version) {
        if (!pending.remove(adapter)) {
            return;
        }
        resident.put(adapter, version);
        recordStatus();
    }

    private OrderResult unload(final AdapterKey adapter) {
        sequence++;
        unloadCount++;
        if (unloadMillis > 0) {
            recordStatus();
            clock.scheduleDirect(() -> unloaded(adapter), unloadMillis, TimeUnit.MILLISECONDS);
            return OrderResult.ACCEPTED;
        }
        unloaded(adapter);
        return OrderResult.HOLDS;
    }

    private void unloaded(final AdapterKey adapter) {
        resident.remove(adapter);
        recordStatus();
    }

    private void recordStatus() {
        history.addLast(new TimedStatus(
                clock.now(TimeUnit.MILLISECONDS),
                new TargetStatus(models, resident, pending, sequence, modelBeingLoaded.isPresent(), 0, 0, 0)));
    }

    private TargetStatus laggingStatus() {
        final long until = clock.now(TimeUnit.MILLISECONDS) - STATUS_LAG_MILLIS;
        TargetStatus latest = history.peekFirst().status;
        for (final TimedStatus each : history) {
            if (each.atMillis <= until) {
                latest = each.status;
            }
        }
        return latest;
    }

    /** Advances the virtual time. */
    public void advance(final Duration time) {
        clock.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** The status at one point in time. */
    private record TimedStatus(long atMillis, TargetStatus status) {}
}
