package org.balsambank.core.serving.duty;

import java.util.Objects;
import java.util.function.Supplier;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counts what the duties of this VM did.
 *
 * <p>Confined to the decision loop.
 */
final class DutyMetrics {
    private static final String PREFIX = "balsambank.duty.";

    private final MeterRegistry registry;

    /**
     * Creates the meters.
     *
     * @param registry the registry in which they are registered
     * @param held supplies the number of duties that this VM holds
     */
    DutyMetrics(final MeterRegistry registry, final Supplier<Number> held) {
        this.registry = Objects.requireNonNull(registry);
        registry.gauge(PREFIX + "held", held, each -> each.get().doubleValue());
    }

    /** Counts the outcome of a call. */
    void call(final DutyKind kind, final DutyOutcome outcome) {
        registry.counter(PREFIX + "calls", "kind", kind.name(), "outcome", outcome.name())
                .increment();
    }

    /** Counts a window whose report was accepted. */
    void windowReported() {
        registry.counter(PREFIX + "usage.windows", "result", "reported").increment();
    }

    /** Counts a window whose report was not accepted in time. */
    void windowLate() {
        registry.counter(PREFIX + "usage.windows", "result", "late").increment();
    }

    /** Counts a window for which two bodies are known. */
    void windowConflict() {
        registry.counter(PREFIX + "usage.windows", "result", "conflict").increment();
    }
}
