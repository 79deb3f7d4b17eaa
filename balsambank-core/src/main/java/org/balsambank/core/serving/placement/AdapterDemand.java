package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.reactivex.rxjava3.core.SingleEmitter;

/**
 * The requests that wait for one adapter at one target.
 *
 * <p>Confined to the decision loop. Each waiter gets one result.
 */
final class AdapterDemand {
    private final long sinceNanos;
    private final Map<SingleEmitter<ResidencyResult>, Long> waiters = new LinkedHashMap<>();
    private long version;

    /**
     * Creates an instance without waiters.
     *
     * @param sinceNanos when the demand arose, on the monotonic clock
     */
    AdapterDemand(final long sinceNanos) {
        this.sinceNanos = sinceNanos;
    }

    /**
     * Adds a waiter.
     *
     * @param emitter the waiter
     * @param required the minimum version, 0 for any
     * @param untilNanos when it stops waiting, on the monotonic clock
     */
    void add(final SingleEmitter<ResidencyResult> emitter, final long required, final long untilNanos) {
        version = Math.max(version, required);
        waiters.put(emitter, untilNanos);
    }

    /**
     * Returns the minimum version that satisfies all waiters.
     *
     * @return the version, 0 for any
     */
    long version() {
        return version;
    }

    /**
     * Returns whether there are no waiters.
     *
     * @return true if all have a result or none was added
     */
    boolean isEmpty() {
        return waiters.isEmpty();
    }

    /**
     * Completes the waiters whose time is up, and all of them if no slot has become available for too long.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param maxWaitNanos the maximum time to wait for a slot
     */
    void expire(final long nowNanos, final long maxWaitNanos) {
        final boolean noSlot = nowNanos - sinceNanos >= maxWaitNanos;
        final List<SingleEmitter<ResidencyResult>> expired = new ArrayList<>();
        waiters.forEach((emitter, deadlineNanos) -> {
            if (noSlot || emitter.isDisposed() || nowNanos - deadlineNanos >= 0) {
                expired.add(emitter);
            }
        });
        final long waitedMillis = Duration.ofNanos(nowNanos - sinceNanos).toMillis();
        expired.forEach(waiters::remove);
        expired.forEach(
                emitter -> emitter.onSuccess(ResidencyResult.unavailable("not there after " + waitedMillis + " ms")));
    }

    /**
     * Completes all waiters.
     *
     * @param result the result
     */
    void complete(final ResidencyResult result) {
        final List<SingleEmitter<ResidencyResult>> all = new ArrayList<>(waiters.keySet());
        waiters.clear();
        all.forEach(emitter -> emitter.onSuccess(result));
    }
}
