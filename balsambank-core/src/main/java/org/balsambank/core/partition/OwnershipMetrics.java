package org.balsambank.core.partition;

import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** The metrics of partition ownership. Thread-safe. */
final class OwnershipMetrics {
    private static final String SWAPS = "balsambank.ownership.swaps";

    private final MeterRegistry registry;
    private final Counter takeOvers;
    private final Counter handOvers;
    private final Counter promiseRounds;

    /**
     * Registers the metrics.
     *
     * @param registry the meter registry to register them with
     * @param held the number of partitions for which this VM acts
     */
    OwnershipMetrics(final MeterRegistry registry, final Supplier<Number> held) {
        this.registry = registry;
        takeOvers = registry.counter("balsambank.ownership.taken_over");
        handOvers = registry.counter("balsambank.ownership.handed_over");
        promiseRounds = registry.counter("balsambank.ownership.promise_rounds");
        Gauge.builder("balsambank.ownership.held", held).register(registry);
    }

    /**
     * Counts an attempted swap.
     *
     * @param kind the reason for the swap
     * @param won whether it took effect
     */
    void recordSwap(final SwapKind kind, final boolean won) {
        registry.counter(SWAPS, "kind", kind.name(), "result", won ? "won" : "lost")
                .increment();
    }

    /** Counts a takeover of partitions from failed owners. */
    void recordTakeOver() {
        takeOvers.increment();
    }

    /**
     * Counts partitions that were handed over.
     *
     * @param count the number of partitions
     */
    void recordHandOver(final int count) {
        handOvers.increment(count);
    }

    /** Counts a round of requests for promises. */
    void recordPromiseRound() {
        promiseRounds.increment();
    }

    /** The reason for replacing an assignment. */
    enum SwapKind {
        /** Partitions had no live owner, or the voters had changed. */
        REPAIR,
        /** An owner handed partitions over. */
        HAND_OVER
    }
}
