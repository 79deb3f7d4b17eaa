package org.balsambank.core.invariant;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Asserts invariants while the program runs. A broken one is counted, logged and kept for tests and operators.
 *
 * <p>Thread-safe.
 */
public final class InvariantMonitor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String COUNTER = "balsambank.invariant.broken";
    private static final int MAX_KEPT = 100;

    private final MeterRegistry registry;
    private final List<String> violations = new CopyOnWriteArrayList<>();

    /**
     * Creates a monitor in which nothing is broken yet.
     *
     * @param registry counts what breaks
     */
    public InvariantMonitor(final MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Asserts one invariant.
     *
     * @param holds whether it holds
     * @param invariant the invariant
     * @param detail describes the subject; evaluated only if the invariant is broken
     */
    public void check(final boolean holds, final Invariant invariant, final Supplier<String> detail) {
        if (holds) {
            return;
        }
        final String text = invariant + ": " + detail.get();
        registry.counter(COUNTER, "invariant", invariant.name()).increment();
        LOGGER.atSevere().log("event=invariant_broken %s", text);
        if (violations.size() < MAX_KEPT) {
            violations.add(text);
        }
    }

    /**
     * Returns the first invariants that broke.
     *
     * @return the descriptions, empty if all held
     */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
