package org.balsambank.core.target;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.balsambank.core.error.ErrorKind;

/**
 * Meters for admission, adapter loads and target failures.
 *
 * <p>Confined to the decision loop.
 */
final class TargetMeters {
    private static final String PREFIX = "balsambank.target.";

    private final MeterRegistry registry;
    private final Map<ErrorKind, Counter> rejections = new EnumMap<>(ErrorKind.class);
    private final Counter permits;
    private final Counter loads;
    private final Counter failedLoads;
    private final Counter evictions;
    private final Counter restarts;
    private final Counter losses;
    private final Timer queueWait;
    private final Timer loadWait;

    /**
     * Creates the meters.
     *
     * @param registry the registry for the meters
     */
    TargetMeters(final MeterRegistry registry) {
        this.registry = registry;
        permits = registry.counter(PREFIX + "permits");
        loads = registry.counter(PREFIX + "loads");
        failedLoads = registry.counter(PREFIX + "loads.failed");
        evictions = registry.counter(PREFIX + "evictions");
        restarts = registry.counter(PREFIX + "restarts");
        losses = registry.counter(PREFIX + "requests.lost.with.target");
        queueWait = registry.timer(PREFIX + "queue.wait");
        loadWait = registry.timer(PREFIX + "load.wait");
    }

    /**
     * Records a granted permit.
     *
     * @param waitNanos the time that the request was queued, in nanoseconds
     * @param waitedForLoad true if the adapter was not loaded when the request was queued
     */
    void permit(final long waitNanos, final boolean waitedForLoad) {
        permits.increment();
        queueWait.record(Duration.ofNanos(waitNanos));
        if (waitedForLoad) {
            loadWait.record(Duration.ofNanos(waitNanos));
        }
    }

    /**
     * Counts a rejected request.
     *
     * @param kind the error kind
     */
    void rejected(final ErrorKind kind) {
        rejections
                .computeIfAbsent(kind, key -> registry.counter(PREFIX + "refusals", "kind", key.code()))
                .increment();
    }

    /** Counts a successful load. */
    void loaded() {
        loads.increment();
    }

    /** Counts a failed load. */
    void loadFailed() {
        failedLoads.increment();
    }

    /** Counts an eviction. */
    void evicted() {
        evictions.increment();
    }

    /** Counts a detected restart of a target. */
    void restarted() {
        restarts.increment();
    }

    /** Counts a request that was running when its target crashed. */
    void lostWithTarget() {
        losses.increment();
    }
}
