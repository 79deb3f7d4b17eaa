package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.time.TimerService;

/**
 * Grants the load slots of the whole fleet on one VM, with weighted fair sharing between traffic classes.
 *
 * <p>Invariants: in any second at most {@value #LOADS_PER_SECOND} slots are granted, and at most
 * {@value #MAX_IN_FLIGHT} are in use, not counting adopted ones. Confined to the decision loop.
 */
public final class LocalLoadSlots implements LoadSlots {
    private static final int LOADS_PER_SECOND = 4;
    private static final int MAX_IN_FLIGHT = 8;
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    private final TimerService timers;
    private final InvariantMonitor invariants;
    private final Map<TrafficClass, Deque<SingleEmitter<LoadSlot>>> waiting = new EnumMap<>(TrafficClass.class);
    private final FairShares<TrafficClass> shares = new FairShares<>();
    private final Deque<Long> starts = new ArrayDeque<>();
    private int inFlight;
    private long pausedUntilNanos;
    private Disposable wakeUp = Disposable.disposed();

    /**
     * Creates a limiter with all slots free.
     *
     * @param timers the timer service
     * @param invariants records violated invariants
     */
    public LocalLoadSlots(final TimerService timers, final InvariantMonitor invariants) {
        this.timers = Objects.requireNonNull(timers);
        this.invariants = Objects.requireNonNull(invariants);
        this.pausedUntilNanos = timers.nanoTime();
    }

    @Override
    public Single<LoadSlot> acquire(final TrafficClass trafficClass) {
        return Single.create(emitter -> {
            final Deque<SingleEmitter<LoadSlot>> queue =
                    waiting.computeIfAbsent(trafficClass, key -> new ArrayDeque<>());
            queue.add(emitter);
            emitter.setCancellable(() -> queue.remove(emitter));
            grantAvailable();
        });
    }

    /**
     * Adopts a load that started under a previous lender. Adoption is not subject to the limits, but the load counts
     * against them afterwards.
     *
     * @return the slot of the load
     */
    public LoadSlot adopt() {
        inFlight++;
        return new Slot();
    }

    /**
     * Pauses granting, so that loads in flight can be adopted first.
     *
     * @param duration the length of the pause, from now
     */
    public void pause(final Duration duration) {
        pausedUntilNanos = timers.nanoTime() + duration.toNanos();
    }

    private void grantAvailable() {
        while (hasWaiting() && inFlight < MAX_IN_FLIGHT && delayNanos() <= 0) {
            grantNext();
        }
        if (hasWaiting() && wakeUp.isDisposed() && delayNanos() > 0) {
            wakeUp = timers.after(Duration.ofNanos(delayNanos())).subscribe(() -> {
                wakeUp.dispose();
                grantAvailable();
            });
        }
    }

    private void grantNext() {
        final TrafficClass next =
                shares.next(waiting.keySet().stream().filter(this::hasWaitingIn).toList());
        shares.charge(next, next.weight());
        final SingleEmitter<LoadSlot> emitter = waiting.get(next).remove();
        starts.add(timers.nanoTime());
        inFlight++;
        invariants.check(
                starts.size() <= LOADS_PER_SECOND && inFlight <= MAX_IN_FLIGHT,
                Invariant.LOADS_WITHIN_LIMIT,
                () -> "lastSecond=" + starts.size() + " inFlight=" + inFlight);
        emitter.onSuccess(new Slot());
    }

    private boolean hasWaiting() {
        return waiting.keySet().stream().anyMatch(this::hasWaitingIn);
    }

    private boolean hasWaitingIn(final TrafficClass trafficClass) {
        return !waiting.get(trafficClass).isEmpty();
    }

    private long delayNanos() {
        final long now = timers.nanoTime();
        while (!starts.isEmpty() && now - starts.peek() >= WINDOW_NANOS) {
            starts.remove();
        }
        final long rateDelay = starts.size() < LOADS_PER_SECOND ? 0 : starts.peek() + WINDOW_NANOS - now;
        return Math.max(rateDelay, pausedUntilNanos - now);
    }

    /** A slot of this limiter. Confined to the decision loop. */
    private final class Slot implements LoadSlot {
        private boolean released;

        @Override
        public void release() {
            if (!released) {
                released = true;
                inFlight--;
                grantAvailable();
            }
        }
    }
}
