package org.balsambank.standin.experiment.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BootId;
import org.balsambank.core.port.TargetReport;
import org.balsambank.core.time.TimerService;

/**
 * A simulated model runner in virtual time.
 *
 * <p>Confined to one thread.
 */
final class VirtualEngine {
    private static final BootId BOOT = new BootId("boot");
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    private final TimerService timers;
    private final Map<AdapterRef, Integer> adapters = new HashMap<>();
    private TargetReport report = new TargetReport(BOOT, 0, 0, Map.of());
    private int running;
    private long lastChangeNanos;
    private double requestNanos;
    private double busyNanos;
    private long lastStartNanos;

    /**
     * Creates an engine without adapters.
     *
     * @param timers the clock and timers
     */
    VirtualEngine(final TimerService timers) {
        this.timers = timers;
        timers.every(REPORT_PERIOD).subscribe(tick -> report = new TargetReport(BOOT, running, 0, adapters));
    }

    /**
     * Returns the latest periodic report.
     *
     * @return the report, up to a second old
     */
    TargetReport report() {
        return report;
    }

    /**
     * Returns whether an adapter is loaded.
     *
     * @param adapter the adapter and version
     * @return true if requests can run on it
     */
    boolean isLoaded(final AdapterRef adapter) {
        return adapters.containsKey(adapter);
    }

    /**
     * Records a completed load.
     *
     * @param adapter the adapter and version
     */
    void completeLoad(final AdapterRef adapter) {
        adapters.put(adapter, 0);
    }

    /**
     * Evicts an adapter, which must not be in use.
     *
     * @param adapter the adapter and version
     */
    void evict(final AdapterRef adapter) {
        if (adapters.getOrDefault(adapter, 0) > 0) {
            throw new IllegalStateException("cannot evict an adapter in use: " + adapter);
        }
        adapters.remove(adapter);
    }

    /**
     * Starts a request.
     *
     * @param adapter the adapter and version
     * @param duration the duration of the request
     * @return completes at the end of the request; must be subscribed to
     */
    Completable run(final AdapterRef adapter, final Duration duration) {
        changeRunning(adapter, 1);
        lastStartNanos = timers.nanoTime();
        return timers.after(duration).doOnComplete(() -> changeRunning(adapter, -1));
    }

    /**
     * Returns the total running time of all requests.
     *
     * @return nanoseconds
     */
    double requestNanos() {
        return requestNanos;
    }

    /**
     * Returns the total time in which at least one request was running.
     *
     * @return nanoseconds
     */
    double busyNanos() {
        return busyNanos;
    }

    /**
     * Returns when the last request started.
     *
     * @return the time of the timer service, in nanoseconds
     */
    long lastStartNanos() {
        return lastStartNanos;
    }

    private void changeRunning(final AdapterRef adapter, final int by) {
        final long now = timers.nanoTime();
        requestNanos += (double) running * (now - lastChangeNanos);
        busyNanos += running > 0 ? now - lastChangeNanos : 0;
        lastChangeNanos = now;
        running += by;
        adapters.merge(adapter, by, Integer::sum);
    }
}
