package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.port.TargetReport;
import org.balsambank.core.time.TimerService;

/**
 * Tracks which adapters are resident on an engine, which of them are pinned, and the eviction priority of each.
 *
 * <p>The priority is use count x load cost, plus the priority of the last evicted adapter, so that old uses count less
 * over time (greedy-dual-size-frequency). Invariant: an adapter is evicted only if it has no pin and the engine's
 * report shows no request on it. Confined to the decision loop.
 */
final class AdapterResidency {
    /** Upper bound on how far a report lags behind the engine's state. */
    static final Duration REPORT_LAG = Duration.ofSeconds(2);

    private static final double INITIAL_COST_SECONDS = 0.25;
    private static final double COST_SMOOTHING = 0.2;
    private static final long REPORT_LAG_NANOS = REPORT_LAG.toNanos();

    private final TimerService timers;
    private final Map<AdapterRef, ResidentAdapter> entries = new HashMap<>();
    private final Map<AdapterRef, Integer> pins = new HashMap<>();
    private final Map<AdapterRef, Long> evictedNanos = new HashMap<>();
    private long reportsTrustedAfterNanos;
    private double agingOffset;
    private double costSeconds = INITIAL_COST_SECONDS;

    /**
     * Creates the state of an engine without adapters.
     *
     * @param timers the timer service
     */
    AdapterResidency(final TimerService timers) {
        this.timers = timers;
        this.reportsTrustedAfterNanos = timers.nanoTime();
    }

    /**
     * Returns whether requests may run on an adapter.
     *
     * @param adapter the adapter version
     * @return true if it is loaded and not draining
     */
    boolean usable(final AdapterRef adapter) {
        final ResidentAdapter entry = entries.get(adapter);
        return entry != null && entry.state == State.LOADED && !entry.draining;
    }

    /**
     * Returns whether an adapter occupies a slot.
     *
     * @param adapter the adapter version
     * @return true if it is loaded, being loaded, being evicted, or in an unknown state
     */
    boolean occupiesSlot(final AdapterRef adapter) {
        return entries.containsKey(adapter);
    }

    /**
     * Returns the number of occupied slots.
     *
     * @return the number of adapters that are loaded, being loaded, being evicted, or in an unknown state
     */
    int size() {
        return entries.size();
    }

    /**
     * Returns the number of permits in use on an adapter.
     *
     * @param adapter the adapter version
     * @return the number of pins
     */
    int pins(final AdapterRef adapter) {
        return pins.getOrDefault(adapter, 0);
    }

    /**
     * Pins an adapter for a request and counts the use.
     *
     * @param adapter the adapter version
     */
    void pin(final AdapterRef adapter) {
        pins.merge(adapter, 1, Integer::sum);
        final ResidentAdapter entry = entries.get(adapter);
        if (entry != null) {
            entry.uses++;
            entry.priority = agingOffset + entry.uses * costSeconds;
        }
    }

    /**
     * Releases a pin.
     *
     * @param adapter the adapter version
     * @param ended true if the request is known to have ended on the engine; otherwise the adapter counts as in use
     *     until a report that is recent enough shows it idle
     */
    void unpin(final AdapterRef adapter, final boolean ended) {
        pins.computeIfPresent(adapter, (key, count) -> count == 1 ? null : count - 1);
        final ResidentAdapter entry = entries.get(adapter);
        if (entry != null && !ended) {
            entry.markUncertain(timers.nanoTime() + REPORT_LAG_NANOS);
        }
    }

    /**
     * Records that a load command was sent.
     *
     * @param adapter the adapter version
     */
    void markLoading(final AdapterRef adapter) {
        entries.put(adapter, new ResidentAdapter(State.LOADING, timers.nanoTime()));
    }

    /**
     * Records that a load succeeded and updates the average load cost.
     *
     * @param adapter the adapter version
     */
    void markLoaded(final AdapterRef adapter) {
        final long now = timers.nanoTime();
        final ResidentAdapter entry = entries.computeIfAbsent(adapter, key -> new ResidentAdapter(State.LOADING, now));
        final double seconds =
                (now - entry.sinceNanos) / (double) Duration.ofSeconds(1).toNanos();
        costSeconds += COST_SMOOTHING * (seconds - costSeconds);
        entry.transitionTo(State.LOADED, now);
        entry.priority = agingOffset + costSeconds;
    }

    /**
     * Records that an evict command was sent.
     *
     * @param adapter the adapter version
     */
    void markEvicting(final AdapterRef adapter) {
        final ResidentAdapter entry = entries.get(adapter);
        agingOffset = Math.max(agingOffset, entry.priority);
        entry.transitionTo(State.EVICTING, timers.nanoTime());
    }

    /**
     * Records that an adapter is not resident. Reports that lag and still list it are ignored.
     *
     * @param adapter the adapter version
     */
    void markAbsent(final AdapterRef adapter) {
        entries.remove(adapter);
        evictedNanos.put(adapter, timers.nanoTime());
    }

    /**
     * Records that it is unknown whether an adapter is resident. Later reports determine its state.
     *
     * @param adapter the adapter version
     */
    void markUnknown(final AdapterRef adapter) {
        final ResidentAdapter entry = entries.get(adapter);
        if (entry != null) {
            entry.transitionTo(State.UNKNOWN, timers.nanoTime());
        }
    }

    /**
     * Starts draining an adapter: grants no more permits on it, so that it becomes idle and can be evicted.
     *
     * @param adapter the adapter version
     */
    void drain(final AdapterRef adapter) {
        entries.get(adapter).draining = true;
    }

    /**
     * Stops draining an adapter: grants permits on it again.
     *
     * @param adapter the adapter version
     * @return true if the adapter was draining
     */
    boolean cancelDrain(final AdapterRef adapter) {
        final ResidentAdapter entry = entries.get(adapter);
        final boolean drainCancelled = entry != null && entry.draining && entry.state == State.LOADED;
        if (drainCancelled) {
            entry.draining = false;
        }
        return drainCancelled;
    }

    /**
     * Returns whether any adapter is draining.
     *
     * @return true if at least one adapter is draining
     */
    boolean hasDraining() {
        return entries.values().stream().anyMatch(entry -> entry.draining);
    }

    /** Clears the resident adapters but keeps the pins. Called when the engine restarted. */
    void restarted() {
        entries.clear();
        evictedNanos.clear();
    }

    /**
     * Clears the resident adapters but keeps the pins. Called when this VM gains the target. Adapters found by reports
     * count as in use until the reports can be trusted.
     *
     * @param trustedAfterNanos the monotonic time after which reports include every request of the previous owner
     */
    void ownershipGained(final long trustedAfterNanos) {
        entries.clear();
        reportsTrustedAfterNanos = trustedAfterNanos;
    }

    /**
     * Lets the next report determine whether an adapter is resident, without allowing for lag. Called when the engine
     * refused a request, which may mean that the adapter is missing.
     *
     * @param adapter the adapter version
     */
    void revalidate(final AdapterRef adapter) {
        final ResidentAdapter entry = entries.get(adapter);
        if (entry != null && entry.state == State.LOADED) {
            entry.sinceNanos = timers.nanoTime() - REPORT_LAG_NANOS;
        }
    }

    /**
     * Reconciles this table with a report, allowing for the report's lag.
     *
     * @param report the report that the target sent
     * @return the number of adapters removed because the report does not list them
     */
    int reconcile(final TargetReport report) {
        final long now = timers.nanoTime();
        final int before = entries.size();
        entries.entrySet()
                .removeIf(entry -> !report.adapters().containsKey(entry.getKey())
                        && entry.getValue().reportable(now));
        final int removed = before - entries.size();
        evictedNanos.values().removeIf(nanos -> now - nanos >= REPORT_LAG_NANOS);
        report.adapters().forEach((adapter, running) -> {
            if (evictedNanos.containsKey(adapter) && !entries.containsKey(adapter)) {
                return;
            }
            final ResidentAdapter entry = entries.computeIfAbsent(adapter, key -> newlyDiscovered(now));
            if (entry.state == State.UNKNOWN && now - entry.sinceNanos >= REPORT_LAG_NANOS) {
                entry.transitionTo(State.LOADED, now);
            }
            entry.running = running;
            entry.uncertain &= now - entry.uncertainUntilNanos < 0;
        });
        return removed;
    }

    /**
     * Chooses the adapter to evict.
     *
     * @param wanted whether queued requests need an adapter
     * @return the adapter of lowest priority among those that are idle and either draining or not needed by queued
     *     requests
     */
    Optional<AdapterRef> victim(final Predicate<AdapterRef> wanted) {
        return lowestPriority(adapter -> {
            final ResidentAdapter entry = entries.get(adapter);
            return idle(adapter, entry) && (entry.draining || !wanted.test(adapter));
        });
    }

    /**
     * Chooses the adapter to drain when none can be evicted.
     *
     * @return the loaded adapter of lowest priority
     */
    Optional<AdapterRef> lowestPriority() {
        return lowestPriority(adapter -> entries.get(adapter).state == State.LOADED);
    }

    /**
     * Returns whether an adapter is known to be idle.
     *
     * @param adapter the adapter version
     * @return true if it is loaded, no permit is in use on it, and the engine's reports show no request on it
     */
    boolean idle(final AdapterRef adapter) {
        final ResidentAdapter entry = entries.get(adapter);
        return entry != null && idle(adapter, entry);
    }

    private boolean idle(final AdapterRef adapter, final ResidentAdapter entry) {
        return entry.state == State.LOADED && pins(adapter) == 0 && entry.running == 0 && !entry.uncertain;
    }

    private Optional<AdapterRef> lowestPriority(final Predicate<AdapterRef> eligible) {
        AdapterRef least = null;
        for (final Map.Entry<AdapterRef, ResidentAdapter> entry : entries.entrySet()) {
            if (eligible.test(entry.getKey()) && (least == null || hasLowerPriority(entry, least))) {
                least = entry.getKey();
            }
        }
        return Optional.ofNullable(least);
    }

    private boolean hasLowerPriority(final Map.Entry<AdapterRef, ResidentAdapter> entry, final AdapterRef other) {
        final int byPriority = Double.compare(entry.getValue().priority, entries.get(other).priority);
        return byPriority != 0 ? byPriority < 0 : entry.getKey().compareTo(other) < 0;
    }

    private ResidentAdapter newlyDiscovered(final long now) {
        final ResidentAdapter entry = new ResidentAdapter(State.LOADED, now);
        entry.priority = agingOffset;
        if (now - reportsTrustedAfterNanos < 0) {
            entry.markUncertain(reportsTrustedAfterNanos);
        }
        return entry;
    }

    /** State of an adapter that occupies a slot. */
    private enum State {
        /** A load command was sent and has not ended. */
        LOADING,
        /** The adapter is resident. */
        LOADED,
        /** An evict command was sent and has not ended. */
        EVICTING,
        /** A command ended without a known outcome; a later report determines the state. */
        UNKNOWN
    }

    /** An adapter that occupies a slot. Confined to the decision loop. */
    private static final class ResidentAdapter {
        private State state;
        private long sinceNanos;
        private long uncertainUntilNanos;
        private int uses;
        private int running;
        private boolean uncertain;
        private double priority;
        private boolean draining;

        ResidentAdapter(final State state, final long now) {
            transitionTo(state, now);
            uses = 1;
        }

        /** Treats the adapter as in use until a report arrives at or after the given time. */
        void markUncertain(final long untilNanos) {
            uncertain = true;
            uncertainUntilNanos = untilNanos;
        }

        void transitionTo(final State newState, final long now) {
            state = newState;
            sinceNanos = now;
        }

        /** Returns whether a report would list the adapter if it were resident. */
        boolean reportable(final long now) {
            return (state == State.LOADED || state == State.UNKNOWN) && now - sinceNanos >= REPORT_LAG_NANOS;
        }
    }
}
