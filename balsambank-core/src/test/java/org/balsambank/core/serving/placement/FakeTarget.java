package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * A target that takes orders, answers some of them never and carries those out late, and reports with a lag.
 *
 * <p>Confined to one thread. Invariant, as a real one would crash: never more adapters than places.
 */
public final class FakeTarget implements TargetOrderClient {
    private static final long REPORT_LAG_MILLIS = 200;
    private static final long LOAD_MILLIS = 250;
    private static final long UNANSWERED_MILLIS = 500;
    private static final int PARALLEL = 4;

    private final TestScheduler clock;
    private final SplittableRandom random;
    private final int places;
    private final Map<AdapterKey, Long> held = new HashMap<>();
    private final Set<AdapterKey> pending = new HashSet<>();
    private final Set<BaseModel> models = new HashSet<>();
    private final Deque<Seen> history = new ArrayDeque<>();
    private double lateShare;
    private long sequence;
    private long fence;
    private int overfull;
    private int orders;

    public FakeTarget(final TestScheduler clock, final long seed, final int places, final BaseModel model) {
        this.clock = clock;
        this.random = new SplittableRandom(seed);
        this.places = places;
        models.add(model);
        note();
    }

    /** Sets the share of orders that get no answer and are carried out 2 to 12 s later. */
    public void late(final double share) {
        lateShare = share;
    }

    /** Returns how often an order would have crashed the target. */
    public int overfull() {
        return overfull;
    }

    public int orders() {
        return orders;
    }

    public Set<AdapterKey> held() {
        return held.keySet();
    }

    @Override
    public Single<OrderResult> send(final TargetAnnouncement target, final Order order) {
        return Single.defer(() -> {
            orders++;
            if (random.nextDouble() < lateShare) {
                final long after = 2_000 + random.nextInt(10_000);
                clock.scheduleDirect(() -> carryOut(order), after, TimeUnit.MILLISECONDS);
                return Single.timer(UNANSWERED_MILLIS, TimeUnit.MILLISECONDS, clock)
                        .map(tick -> OrderResult.UNKNOWN);
            }
            return Single.timer(2, TimeUnit.MILLISECONDS, clock).map(tick -> carryOut(order));
        });
    }

    @Override
    public Single<TargetStatus> readStatus(final TargetAnnouncement target) {
        return Single.timer(2, TimeUnit.MILLISECONDS, clock).map(tick -> lagging());
    }

    private OrderResult carryOut(final Order order) {
        if (order.fence() < fence) {
            return OrderResult.FENCED;
        }
        fence = order.fence();
        if (order.expectedSequence().isPresent() && order.expectedSequence().getAsLong() != sequence) {
            return OrderResult.BUSY;
        }
        final Optional<AdapterKey> adapter = order.adapter();
        if (adapter.isEmpty()) {
            return models.add(order.model()) ? OrderResult.ACCEPTED : OrderResult.HOLDS;
        }
        return order.load() ? load(adapter.get(), order.version()) : unload(adapter.get());
    }

    private OrderResult load(final AdapterKey adapter, final long version) {
        final Long known = held.get(adapter);
        if (known != null && known >= version) {
            return OrderResult.HOLDS;
        }
        if (pending.contains(adapter)) {
            return OrderResult.ACCEPTED;
        }
        if (pending.size() >= PARALLEL) {
            return OrderResult.BUSY;
        }
        sequence++;
        pending.add(adapter);
        if (held.size() + pending.size() > places) {
            overfull++;
        }
        clock.scheduleDirect(() -> loaded(adapter, version), LOAD_MILLIS, TimeUnit.MILLISECONDS);
        note();
        return OrderResult.ACCEPTED;
    }

    private void loaded(final AdapterKey adapter, final long version) {
        pending.remove(adapter);
        held.put(adapter, version);
        note();
    }

    private OrderResult unload(final AdapterKey adapter) {
        sequence++;
        held.remove(adapter);
        note();
        return OrderResult.HOLDS;
    }

    private void note() {
        history.addLast(new Seen(
                clock.now(TimeUnit.MILLISECONDS), new TargetStatus(models, held, pending, sequence, false, 0, 0, 0)));
    }

    private TargetStatus lagging() {
        final long until = clock.now(TimeUnit.MILLISECONDS) - REPORT_LAG_MILLIS;
        TargetStatus newest = history.peekFirst().status;
        for (final Seen each : history) {
            if (each.atMillis <= until) {
                newest = each.status;
            }
        }
        return newest;
    }

    /** Lets time pass. */
    public void advance(final Duration time) {
        clock.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** What a report showed from a moment on. */
    private record Seen(long atMillis, TargetStatus status) {}
}
