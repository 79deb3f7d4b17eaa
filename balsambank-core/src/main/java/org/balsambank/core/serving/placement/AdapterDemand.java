package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.reactivex.rxjava3.core.SingleEmitter;

/**
 * Those who wait for one adapter at one target.
 *
 * <p>Confined to the decision loop. Each waiter is answered once.
 */
final class AdapterDemand {
    private final long sinceNanos;
    private final Map<SingleEmitter<ResidencyResult>, Long> waiting = new LinkedHashMap<>();
    private long version;

    /**
     * Creates a wish without waiters.
     *
     * @param sinceNanos the monotonic time
     */
    AdapterDemand(final long sinceNanos) {
        this.sinceNanos = sinceNanos;
    }

    /**
     * Adds a waiter.
     *
     * @param emitter the waiter
     * @param wanted the least version, 0 for any
     * @param untilNanos when it gives up
     */
    void add(final SingleEmitter<ResidencyResult> emitter, final long wanted, final long untilNanos) {
        version = Math.max(version, wanted);
        waiting.put(emitter, untilNanos);
    }

    /**
     * Returns the least version that fits all waiters.
     *
     * @return the version, 0 for any
     */
    long version() {
        return version;
    }

    /**
     * Tells whether nobody waits.
     *
     * @return true if all have given up
     */
    boolean over() {
        return waiting.isEmpty();
    }

    /**
     * Answers those that have given up, and all if there was no place for too long.
     *
     * @param nowNanos the monotonic time
     * @param patienceNanos how long to wait for a place
     */
    void expire(final long nowNanos, final long patienceNanos) {
        final boolean noPlace = nowNanos - sinceNanos >= patienceNanos;
        final List<SingleEmitter<ResidencyResult>> late = new ArrayList<>();
        waiting.forEach((emitter, until) -> {
            if (noPlace || emitter.isDisposed() || nowNanos - until >= 0) {
                late.add(emitter);
            }
        });
        final long waited = Duration.ofNanos(nowNanos - sinceNanos).toMillis();
        late.forEach(waiting::remove);
        late.forEach(emitter -> emitter.onSuccess(ResidencyResult.refused("not there after " + waited + " ms")));
    }

    /**
     * Answers all.
     *
     * @param hold the answer
     */
    void end(final ResidencyResult hold) {
        final List<SingleEmitter<ResidencyResult>> all = new ArrayList<>(waiting.keySet());
        waiting.clear();
        all.forEach(emitter -> emitter.onSuccess(hold));
    }
}
