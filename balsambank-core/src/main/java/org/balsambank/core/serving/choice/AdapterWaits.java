package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.time.TimerService;

/**
 * What this VM has learned from waits for adapters at targets.
 *
 * <p>A target that does not respond to orders holds no adapters and runs nothing, so it looks like the best place for
 * the next load. After a failed wait it gets no loads for a while, twice as long after each further failure. Confined
 * to the decision loop.
 */
public final class AdapterWaits {
    private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(300).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(3).toNanos();
    private static final double FIRST_MILLIS = 300;
    private static final double MAX_MILLIS = 1_000;
    private static final double WEIGHT = 0.05;

    private final TimerService timer;
    private final Map<TargetId, Backoff> backoffs = new HashMap<>();
    private double loadMillis = FIRST_MILLIS;

    /**
     * Creates an instance without waits.
     *
     * @param timer the timer service
     */
    public AdapterWaits(final TimerService timer) {
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Records that an adapter was loaded in time.
     *
     * @param target the target
     * @param waitedMillis the duration of the wait
     */
    public void loaded(final TargetId target, final long waitedMillis) {
        backoffs.remove(target);
        loadMillis += WEIGHT * (Math.min(MAX_MILLIS, waitedMillis) - loadMillis);
    }

    /**
     * Records that an adapter was not loaded in time.
     *
     * @param target the target
     */
    public void failed(final TargetId target) {
        final long now = timer.nanoTime();
        backoffs.values().removeIf(each -> now - each.untilNanos > MAX_BACKOFF_NANOS);
        final Backoff previous = backoffs.get(target);
        if (previous != null && now - previous.untilNanos < 0) {
            // Requests that wait at the same time fail together.
            return;
        }
        final long nanos = previous == null ? MIN_BACKOFF_NANOS : Math.min(MAX_BACKOFF_NANOS, 2 * previous.lengthNanos);
        backoffs.put(target, new Backoff(now + nanos, nanos));
    }

    /**
     * Returns whether adapters should be loaded elsewhere.
     *
     * @param target the target
     * @return true for a while after a load there was not done in time
     */
    boolean avoided(final TargetId target) {
        final Backoff backoff = backoffs.get(target);
        return backoff != null && timer.nanoTime() - backoff.untilNanos < 0;
    }

    /** Returns the mean duration of recent waits for adapters, in milliseconds. */
    double loadMillis() {
        return loadMillis;
    }

    /** Until when a target gets no loads. */
    private record Backoff(long untilNanos, long lengthNanos) {}
}
