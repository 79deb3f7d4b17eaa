package org.balsambank.standin.engine;

import java.time.Duration;
import java.util.Objects;

import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.time.TimerService;

/**
 * The weight store that all engines of a fleet load from. It starts about four loads per second; each takes the given
 * time while few loads are in flight, and proportionally longer beyond {@link #MAX_UNCONTENDED_LOADS}.
 *
 * <p>Confined to the event loop of its timer service; {@link #load(String)} may be subscribed to from any thread and
 * completes on that event loop.
 */
public final class WeightStore {
    /** The maximum number of loads in flight that do not slow each other down. */
    public static final int MAX_UNCONTENDED_LOADS = 8;

    private static final Duration START_INTERVAL = Duration.ofMillis(250);
    private static final int START_BURST = 4;

    private final TimerService timer;
    private final Duration loadTime;

    private long nextStartNanos;
    private int inFlight;
    private int maxInFlight;
    private long loads;
    private double slowdown = 1;

    /**
     * Creates a store.
     *
     * @param timer the timers of the event loop of the store
     * @param loadTime the duration of one load without contention
     */
    public WeightStore(final TimerService timer, final Duration loadTime) {
        this.timer = Objects.requireNonNull(timer);
        this.loadTime = Objects.requireNonNull(loadTime);
        this.nextStartNanos = timer.nanoTime() - START_INTERVAL.toNanos() * START_BURST;
    }

    /**
     * Reads the weights of an adapter.
     *
     * @param adapter the adapter and version
     * @return completes when the weights have been read
     */
    public Completable load(final String adapter) {
        return Completable.defer(() -> {
                    inFlight++;
                    loads++;
                    maxInFlight = Math.max(maxInFlight, inFlight);
                    return timer.after(nextLoadDuration()).doFinally(() -> inFlight--);
                })
                .subscribeOn(timer.scheduler());
    }

    /**
     * Multiplies the duration of later loads by a factor.
     *
     * @param factor the factor, 1 for the normal duration
     */
    public void slowDown(final double factor) {
        slowdown = factor;
    }

    /**
     * Returns the number of started loads.
     *
     * @return the number of loads
     */
    public long loads() {
        return loads;
    }

    /**
     * Returns the maximum number of loads that were in flight at once.
     *
     * @return the number of loads
     */
    public int maxInFlight() {
        return maxInFlight;
    }

    private Duration nextLoadDuration() {
        final long now = timer.nanoTime();
        final long earliest = now - START_INTERVAL.toNanos() * START_BURST;
        nextStartNanos = Math.max(nextStartNanos, earliest) + START_INTERVAL.toNanos();
        final long wait = Math.max(0, nextStartNanos - now);
        final double contention = Math.max(1.0, inFlight / (double) MAX_UNCONTENDED_LOADS);
        return Duration.ofNanos(wait + (long) (loadTime.toNanos() * contention * slowdown));
    }
}
