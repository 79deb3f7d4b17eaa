package org.balsambank.core.invariant;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Checks invariants at run time. Violations are counted, logged and kept for tests and operators.
 *
 * <p>Thread-safe.
 */
public final class InvariantMonitor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String COUNTER = "balsambank.invariant.broken";
    private static final int MAX_VIOLATIONS = 100;

    private final MeterRegistry registry;
    private final List<String> violations = new CopyOnWriteArrayList<>();

    /**
     * Creates a monitor without violations.
     *
     * @param registry the registry of the violation counter
     */
    public InvariantMonitor(final MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether the invariant holds
     * @param invariant the invariant
     * @param detail supplies the details of a violation; evaluated only if the invariant is violated
     */
    public void check(final boolean holds, final Invariant invariant, final Supplier<String> detail) {
        if (holds) {
            return;
        }
        final String text = invariant + ": " + detail.get();
        registry.counter(COUNTER, "invariant", invariant.name()).increment();
        LOGGER.atSevere().log("event=invariant_broken %s", text);
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(text);
        }
    }

    /**
     * Returns the first violations, at most 100.
     *
     * @return the descriptions, empty if no invariant was violated
     */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
