package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.time.TimerService;

/**
 * Delays the next load of an adapter after failed loads. The delay doubles with each failure.
 *
 * <p>Invariant: at most {@value #MAX_TRACKED} adapters are tracked besides those whose delay has not expired. Confined
 * to the decision loop.
 */
final class LoadBackoff {
    private static final Duration FIRST_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_DELAY = Duration.ofSeconds(30);
    private static final int MAX_TRACKED = 1_000;

    private final TimerService timers;
    private final Map<AdapterRef, Delay> delays = new HashMap<>();

    /**
     * Creates a backoff without delays.
     *
     * @param timers the timer service
     */
    LoadBackoff(final TimerService timers) {
        this.timers = timers;
    }

    /**
     * Records a failed load and starts the next delay.
     *
     * @param adapter the adapter version
     */
    void recordFailure(final AdapterRef adapter) {
        final long now = timers.nanoTime();
        final Delay last = delays.get(adapter);
        final long nanos = last == null ? FIRST_DELAY.toNanos() : Math.min(2 * last.nanos, MAX_DELAY.toNanos());
        if (delays.size() >= MAX_TRACKED) {
            delays.values().removeIf(delay -> delay.untilNanos - now <= 0);
        }
        delays.put(adapter, new Delay(nanos, now + nanos));
    }

    /**
     * Records a successful load, which resets the delay.
     *
     * @param adapter the adapter version
     */
    void recordSuccess(final AdapterRef adapter) {
        delays.remove(adapter);
    }

    /** Clears all delays. */
    void reset() {
        delays.clear();
    }

    /**
     * Returns the remaining delay of an adapter.
     *
     * @param adapter the adapter version
     * @return the time from now; zero or negative if a load may start
     */
    Duration remaining(final AdapterRef adapter) {
        final Delay delay = delays.get(adapter);
        return delay == null ? Duration.ZERO : Duration.ofNanos(delay.untilNanos - timers.nanoTime());
    }

    /** A delay and the monotonic time at which it ends. */
    private record Delay(long nanos, long untilNanos) {}
}
