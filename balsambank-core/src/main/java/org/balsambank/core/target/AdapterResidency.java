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
 * Knows which adapters an engine holds, which of them are pinned, and what each is worth.
 *
 * <p>The worth is frequency x cost of a load, plus the worth of the last adapter that was evicted, so that old
 * frequencies count less and less. Invariant: a victim has no pin, and the engine's report shows no request on it.
 * Confined to the decision loop.
 */
final class AdapterResidency {
    /** The longest time by which a report lags. */
    static final Duration REPORT_LAG = Duration.ofSeconds(2);

    private static final double INITIAL_COST_SECONDS = 0.25;
    private static final double COST_SMOOTHING = 0.2;
    private static final long LAG_NANOS = REPORT_LAG.toNanos();

    private final TimerService timers;
    private final Map<AdapterRef, Entry> entries = new HashMap<>();
    private final Map<AdapterRef, Integer> pins = new HashMap<>();
    private final Map<AdapterRef, Long> evictedNanos = new HashMap<>();
    private long idleAfterNanos;
    private double age;
    private double costSeconds = INITIAL_COST_SECONDS;

    /**
     * Creates the table of an empty engine.
     *
     * @param timers gives the time
     */
    AdapterResidency(final TimerService timers) {
        this.timers = timers;
        this.idleAfterNanos = timers.nanoTime();
    }

    /**
     * Tells whether requests may run on an adapter.
     *
     * @param adapter the version
     * @return true if it is loaded and not about to be evicted
     */
    boolean usable(final AdapterRef adapter) {
        final Entry entry = entries.get(adapter);
        return entry != null && entry.state == State.LOADED && !entry.closing;
    }

    /**
     * Tells whether an adapter takes or will take a slot.
     *
     * @param adapter the version
     * @return true if it is loaded, being loaded or being evicted
     */
    boolean holds(final AdapterRef adapter) {
        return entries.containsKey(adapter);
    }

    /**
     * Returns the number of slots taken.
     *
     * @return the adapters that are loaded, being loaded or being evicted
     */
    int size() {
        return entries.size();
    }

    /**
     * Returns the permits in use on an adapter.
     *
     * @param adapter the version
     * @return the number
     */
    int pins(final AdapterRef adapter) {
        return pins.getOrDefault(adapter, 0);
    }

    /**
     * Pins an adapter for a request and counts its use.
     *
     * @param adapter the version
     */
    void pin(final AdapterRef adapter) {
        pins.merge(adapter, 1, Integer::sum);
        final Entry entry = entries.get(adapter);
        if (entry != null) {
            entry.uses++;
            entry.worth = age + entry.uses * costSeconds;
        }
    }

    /**
     * Takes back a pin.
     *
     * @param adapter the version
     * @param ended true if the engine surely no longer runs the request
     */
    void unpin(final AdapterRef adapter, final boolean ended) {
        pins.computeIfPresent(adapter, (key, count) -> count == 1 ? null : count - 1);
        final Entry entry = entries.get(adapter);
        if (entry != null && !ended) {
            entry.doubt(timers.nanoTime() + LAG_NANOS);
        }
    }

    /**
     * Takes note that a load was ordered.
     *
     * @param adapter the version
     */
    void loading(final AdapterRef adapter) {
        entries.put(adapter, new Entry(State.LOADING, timers.nanoTime()));
    }

    /**
     * Takes note that a load succeeded.
     *
     * @param adapter the version
     */
    void loaded(final AdapterRef adapter) {
        final long now = timers.nanoTime();
        final Entry entry = entries.computeIfAbsent(adapter, key -> new Entry(State.LOADING, now));
        final double seconds =
                (now - entry.sinceNanos) / (double) Duration.ofSeconds(1).toNanos();
        costSeconds += COST_SMOOTHING * (seconds - costSeconds);
        entry.become(State.LOADED, now);
        entry.worth = age + costSeconds;
    }

    /**
     * Takes note that an eviction was ordered.
     *
     * @param adapter the version
     */
    void evicting(final AdapterRef adapter) {
        final Entry entry = entries.get(adapter);
        age = Math.max(age, entry.worth);
        entry.become(State.EVICTING, timers.nanoTime());
    }

    /**
     * Takes note that the engine does not hold an adapter, whatever reports show that lag.
     *
     * @param adapter the version
     */
    void absent(final AdapterRef adapter) {
        entries.remove(adapter);
        evictedNanos.put(adapter, timers.nanoTime());
    }

    /**
     * Takes note that it is not known whether the engine holds an adapter. The next reports tell.
     *
     * @param adapter the version
     */
    void unknown(final AdapterRef adapter) {
        final Entry entry = entries.get(adapter);
        if (entry != null) {
            entry.become(State.UNKNOWN, timers.nanoTime());
        }
    }

    /**
     * Gives no further permit on an adapter, so that it can be evicted.
     *
     * @param adapter the version
     */
    void close(final AdapterRef adapter) {
        entries.get(adapter).closing = true;
    }

    /**
     * Gives permits on an adapter again.
     *
     * @param adapter the version
     * @return true if the adapter was being closed
     */
    boolean reopen(final AdapterRef adapter) {
        final Entry entry = entries.get(adapter);
        final boolean reopened = entry != null && entry.closing && entry.state == State.LOADED;
        if (reopened) {
            entry.closing = false;
        }
        return reopened;
    }

    /**
     * Tells whether an adapter is being closed.
     *
     * @return true if one is
     */
    boolean hasClosing() {
        return entries.values().stream().anyMatch(entry -> entry.closing);
    }

    /** Forgets what the engine holds but not the pins, since it restarted. */
    void restarted() {
        entries.clear();
        evictedNanos.clear();
    }

    /**
     * Forgets what the engine holds but not the pins. What reports show is not idle before they can be trusted.
     *
     * @param trustedAfterNanos the monotonic time after which reports show all that an earlier owner sent
     */
    void gained(final long trustedAfterNanos) {
        entries.clear();
        idleAfterNanos = trustedAfterNanos;
    }

    /**
     * Takes note that the engine refused a request, which may mean that it does not hold the adapter: the next report
     * is believed.
     *
     * @param adapter the version
     */
    void distrust(final AdapterRef adapter) {
        final Entry entry = entries.get(adapter);
        if (entry != null && entry.state == State.LOADED) {
            entry.sinceNanos = timers.nanoTime() - LAG_NANOS;
        }
    }

    /**
     * Takes over what a report says, as far as its lag allows.
     *
     * @param report the report
     * @return how many adapters were thought loaded and are not
     */
    int reconcile(final TargetReport report) {
        final long now = timers.nanoTime();
        final int before = entries.size();
        entries.entrySet()
                .removeIf(entry -> !report.adapters().containsKey(entry.getKey())
                        && entry.getValue().reportable(now));
        final int lost = before - entries.size();
        evictedNanos.values().removeIf(nanos -> now - nanos >= LAG_NANOS);
        report.adapters().forEach((adapter, running) -> {
            if (evictedNanos.containsKey(adapter) && !entries.containsKey(adapter)) {
                return;
            }
            final Entry entry = entries.computeIfAbsent(adapter, key -> newlyFound(now));
            if (entry.state == State.UNKNOWN && now - entry.sinceNanos >= LAG_NANOS) {
                entry.become(State.LOADED, now);
            }
            entry.running = running;
            entry.doubtful &= now - entry.doubtUntilNanos < 0;
        });
        return lost;
    }

    /**
     * Chooses the adapter to evict.
     *
     * @param wanted tells whether requests wait for an adapter
     * @return the adapter of least worth that nothing runs on or waits for
     */
    Optional<AdapterRef> victim(final Predicate<AdapterRef> wanted) {
        return leastWorth(adapter -> {
            final Entry entry = entries.get(adapter);
            return idle(adapter, entry) && (entry.closing || !wanted.test(adapter));
        });
    }

    /**
     * Chooses the adapter to close when no other can be evicted.
     *
     * @return the adapter of least worth
     */
    Optional<AdapterRef> leastWorth() {
        return leastWorth(adapter -> entries.get(adapter).state == State.LOADED);
    }

    /**
     * Tells whether nothing runs on an adapter, as far as is known.
     *
     * @param adapter the version
     * @return true if no permit is in use on it and the engine reports no request
     */
    boolean idle(final AdapterRef adapter) {
        final Entry entry = entries.get(adapter);
        return entry != null && idle(adapter, entry);
    }

    private boolean idle(final AdapterRef adapter, final Entry entry) {
        return entry.state == State.LOADED && pins(adapter) == 0 && entry.running == 0 && !entry.doubtful;
    }

    private Optional<AdapterRef> leastWorth(final Predicate<AdapterRef> eligible) {
        AdapterRef least = null;
        for (final Map.Entry<AdapterRef, Entry> entry : entries.entrySet()) {
            if (eligible.test(entry.getKey()) && (least == null || worthLess(entry, least))) {
                least = entry.getKey();
            }
        }
        return Optional.ofNullable(least);
    }

    private boolean worthLess(final Map.Entry<AdapterRef, Entry> entry, final AdapterRef other) {
        final int byWorth = Double.compare(entry.getValue().worth, entries.get(other).worth);
        return byWorth != 0 ? byWorth < 0 : entry.getKey().compareTo(other) < 0;
    }

    private Entry newlyFound(final long now) {
        final Entry entry = new Entry(State.LOADED, now);
        entry.worth = age;
        if (now - idleAfterNanos < 0) {
            entry.doubt(idleAfterNanos);
        }
        return entry;
    }

    /** What is known of an adapter that takes a slot. */
    private enum State {
        LOADING,
        LOADED,
        EVICTING,
        UNKNOWN
    }

    /** An adapter that takes a slot. */
    private static final class Entry {
        private State state;
        private long sinceNanos;
        private long doubtUntilNanos;
        private int uses;
        private int running;
        private boolean doubtful;
        private double worth;
        private boolean closing;

        Entry(final State state, final long now) {
            become(state, now);
            uses = 1;
        }

        /** Takes note that a request may run unseen until a report after a time tells. */
        void doubt(final long untilNanos) {
            doubtful = true;
            doubtUntilNanos = untilNanos;
        }

        void become(final State newState, final long now) {
            state = newState;
            sinceNanos = now;
        }

        /** Tells whether a report would show the adapter if the engine held it. */
        boolean reportable(final long now) {
            return (state == State.LOADED || state == State.UNKNOWN) && now - sinceNanos >= LAG_NANOS;
        }
    }
}
