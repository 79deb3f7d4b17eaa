package org.balsambank.standin.engine;

import java.time.Duration;

/**
 * The warm-up state of an engine. A cold engine is slower and has less capacity; it warms up by working.
 *
 * <p>Confined to the event loop of its engine.
 */
final class WarmUp {
    /** The working time after which a cold engine is warm. */
    static final Duration WARM_UP = Duration.ofSeconds(5);

    private static final double COLD_CAPACITY_FRACTION = 0.5;
    private static final double COLD_SLOWDOWN = 3;

    private final int concurrency;

    private long workNanos;

    /**
     * Creates the state of a cold engine.
     *
     * @param concurrency the capacity of the warm engine, in requests
     */
    WarmUp(final int concurrency) {
        this.concurrency = concurrency;
    }

    /** Sets the engine to cold. */
    void reset() {
        workNanos = 0;
    }

    /** Sets the engine to warm. */
    void complete() {
        workNanos = WARM_UP.toNanos();
    }

    /**
     * Adds working time.
     *
     * @param duration the time that the engine worked
     */
    void addWork(final Duration duration) {
        workNanos = Math.min(WARM_UP.toNanos(), workNanos + duration.toNanos());
    }

    /**
     * Returns whether the warm-up is complete, so that no load makes the engine restart.
     *
     * @return true if it is warm
     */
    boolean isWarm() {
        return workNanos >= WARM_UP.toNanos();
    }

    /**
     * Returns the number of requests above which an engine that is not warm restarts.
     *
     * @return the number of running and queued requests, at least 2
     */
    int capacity() {
        final double share = COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * progress();
        return Math.max(2, (int) (concurrency * share));
    }

    /**
     * Returns the duration of a step relative to a warm engine.
     *
     * @return the factor, at least 1
     */
    double slowdown() {
        return COLD_SLOWDOWN + (1 - COLD_SLOWDOWN) * progress();
    }

    private double progress() {
        return workNanos / (double) WARM_UP.toNanos();
    }
}
