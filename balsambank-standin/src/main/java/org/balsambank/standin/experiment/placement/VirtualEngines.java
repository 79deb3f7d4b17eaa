package org.balsambank.standin.experiment.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.TargetReport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/**
 * The simulated model runners of a fleet and their weight store, in virtual time.
 *
 * <p>Confined to one thread.
 */
final class VirtualEngines implements TargetClient {
    private static final Duration CALL_LATENCY = Duration.ofMillis(2);
    private static final Duration LOAD_TIME = Duration.ofMillis(250);
    private static final int MAX_UNCONTENDED_LOADS = 8;

    private final TimerService timers;
    private final Map<TargetId, VirtualEngine> engines = new HashMap<>();
    private int loading;
    private long loads;

    /**
     * Creates a fleet without engines; each engine is created on its first use.
     *
     * @param timers the clock and timers
     */
    VirtualEngines(final TimerService timers) {
        this.timers = timers;
    }

    /**
     * Returns the engine of a target.
     *
     * @param target the target
     * @return the engine
     */
    VirtualEngine engine(final Target target) {
        return engines.computeIfAbsent(target.id(), id -> new VirtualEngine(timers));
    }

    /**
     * Returns the mean number of requests that ran at once on a busy engine.
     *
     * @return the mean over the busy time of all engines
     */
    double meanBatch() {
        final double requests = engines.values().stream()
                .mapToDouble(VirtualEngine::requestNanos)
                .sum();
        return requests
                / engines.values().stream()
                        .mapToDouble(VirtualEngine::busyNanos)
                        .sum();
    }

    /**
     * Returns the number of adapter loads.
     *
     * @return the number of started loads
     */
    long loads() {
        return loads;
    }

    @Override
    public Flowable<RelayEvent> send(final Target target, final Epoch epoch, final RelayRequest request) {
        return Flowable.error(new UnsupportedOperationException());
    }

    @Override
    public Single<TargetReport> report(final Target target) {
        return Single.fromCallable(() -> engine(target).report());
    }

    @Override
    public Completable load(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return Completable.defer(() -> {
            loads++;
            loading++;
            final long slowdown = Math.max(1, (loading + MAX_UNCONTENDED_LOADS - 1) / MAX_UNCONTENDED_LOADS);
            return timers.after(CALL_LATENCY.plus(LOAD_TIME.multipliedBy(slowdown)))
                    .doOnComplete(() -> {
                        loading--;
                        engine(target).completeLoad(adapter);
                    });
        });
    }

    @Override
    public Completable evict(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return timers.after(CALL_LATENCY).doOnComplete(() -> engine(target).evict(adapter));
    }
}
