package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.target.CrashNotice;

/**
 * Counts, for each request, the targets that crashed while they ran it.
 *
 * <p>Invariants: a crash counts once per fingerprint, however often and by whichever VM it is reported; at most
 * {@value #MAX_FINGERPRINTS} fingerprints are tracked, those with the most recent crashes. Confined to the decision
 * loop.
 */
public final class PoisonRequestRegistry {
    /** How long a verdict holds after the last crash. */
    static final Duration TTL = Duration.ofHours(24);

    private static final int POISON_THRESHOLD = 2;
    private static final int MAX_FINGERPRINTS = 10_000;
    private static final int MAX_CLEARED = 1_000;
    /** Longer than an outdated report or an outdated saved value can be on its way. */
    private static final long CLEARED_RETENTION_NANOS = Duration.ofSeconds(30).toNanos();

    private final TimerService timers;
    private final Map<Fingerprint, CrashRecord> records = new LinkedHashMap<>();
    private final Set<Fingerprint> observed = new HashSet<>();
    private final Map<Fingerprint, Cleared> cleared = new LinkedHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param timers the timer service
     */
    public PoisonRequestRegistry(final TimerService timers) {
        this.timers = Objects.requireNonNull(timers);
    }

    /**
     * Returns the verdict on a request, from the number of targets that crashed while they ran it.
     *
     * @param fingerprint the fingerprint of the request
     * @return the verdict
     */
    public Verdict verdict(final Fingerprint fingerprint) {
        expire();
        final int count = crashes(fingerprint).size();
        if (count == 0) {
            return Verdict.CLEAN;
        }
        return count < POISON_THRESHOLD ? Verdict.SUSPECT : Verdict.POISON;
    }

    /**
     * Records a crash.
     *
     * @param fingerprint the fingerprint of a request that ran during the crash
     * @param crash the crash during which the request ran
     * @return true if the crash was not yet recorded for the fingerprint
     */
    public boolean record(final Fingerprint fingerprint, final CrashId crash) {
        return record(fingerprint, crash, Duration.ZERO);
    }

    /**
     * Records a crash that a request of this VM was lost in.
     *
     * @param fingerprint the fingerprint of the request
     * @param crash the crash
     * @return true if the crash was not yet recorded for the fingerprint
     */
    public boolean recordObserved(final Fingerprint fingerprint, final CrashId crash) {
        final boolean added = record(fingerprint, crash);
        if (verdict(fingerprint) == Verdict.POISON) {
            observed.add(fingerprint);
        }
        return added;
    }

    /**
     * Records a crash that happened earlier.
     *
     * @param fingerprint the fingerprint of a request that ran during the crash
     * @param crash the crash during which the request ran
     * @param age the time since the crash
     * @return true if the crash was not yet recorded for the fingerprint
     */
    boolean record(final Fingerprint fingerprint, final CrashId crash, final Duration age) {
        if (isCleared(fingerprint, crash)) {
            return false;
        }
        final long crashNanos = timers.nanoTime() - age.toNanos();
        final CrashRecord known = records.remove(fingerprint);
        final CrashRecord updated = known == null ? new CrashRecord(crashNanos) : known;
        final boolean added = updated.crashes.add(crash);
        updated.lastCrashNanos = Math.max(updated.lastCrashNanos, crashNanos);
        records.put(fingerprint, updated);
        expire();
        return added;
    }

    /**
     * Drops all crashes during a request.
     *
     * @param fingerprint the fingerprint of the request
     */
    void forget(final Fingerprint fingerprint) {
        records.remove(fingerprint);
        observed.remove(fingerprint);
    }

    /**
     * Drops all crashes during a request, as a target has responded to it. They are not recorded again by reports that
     * were on their way.
     *
     * @param fingerprint the fingerprint of the request
     * @return false if this is only repeated
     */
    public boolean clear(final Fingerprint fingerprint) {
        final Set<CrashId> dropped = crashes(fingerprint);
        final Cleared previous = cleared.get(fingerprint);
        if (previous != null && !outdated(previous) && dropped.isEmpty()) {
            return false;
        }
        forget(fingerprint);
        cleared.remove(fingerprint);
        cleared.values().removeIf(this::outdated);
        if (cleared.size() >= MAX_CLEARED) {
            cleared.remove(cleared.keySet().iterator().next());
        }
        cleared.put(fingerprint, new Cleared(dropped, timers.nanoTime()));
        return true;
    }

    private boolean isCleared(final Fingerprint fingerprint, final CrashId crash) {
        final Cleared known = cleared.get(fingerprint);
        return known != null && !outdated(known) && known.crashes.contains(crash);
    }

    private boolean outdated(final Cleared known) {
        return timers.nanoTime() - known.nanos >= CLEARED_RETENTION_NANOS;
    }

    /**
     * Returns the requests of this VM that became poison, or crashed another target, since the last call.
     *
     * @return their fingerprints
     */
    Set<Fingerprint> drainObserved() {
        final Set<Fingerprint> drained = Set.copyOf(observed);
        observed.clear();
        return drained;
    }

    /**
     * Returns the time since the last crash during a request.
     *
     * @param fingerprint the fingerprint of a request with a recorded crash
     * @return the time
     */
    Duration sinceLastCrash(final Fingerprint fingerprint) {
        return Duration.ofNanos(timers.nanoTime() - records.get(fingerprint).lastCrashNanos);
    }

    /**
     * Retracts a crash because the target was only unreachable.
     *
     * @param crash the crash to remove
     * @return true if the crash was recorded
     */
    public boolean retract(final CrashId crash) {
        boolean known = false;
        for (final CrashRecord each : records.values()) {
            known |= each.crashes.remove(crash);
        }
        records.values().removeIf(each -> each.crashes.isEmpty());
        return known;
    }

    /**
     * Returns the known crashes during a request.
     *
     * @param fingerprint the fingerprint of the request
     * @return the crashes
     */
    public Set<CrashId> crashes(final Fingerprint fingerprint) {
        final CrashRecord known = records.get(fingerprint);
        return known == null || expired(known) ? Set.of() : Set.copyOf(known.crashes);
    }

    /**
     * Returns all recorded crashes, for a VM that starts.
     *
     * @return one notice per crash and fingerprint
     */
    List<CrashNotice> notices() {
        final List<CrashNotice> notices = new ArrayList<>();
        records.forEach((fingerprint, known) ->
                known.crashes.forEach(crash -> notices.add(CrashMessages.notice(crash, List.of(fingerprint)))));
        return notices;
    }

    /**
     * Returns the requests that must not run again.
     *
     * @return the fingerprints with the verdict {@link Verdict#POISON} and their crashes, the last recorded ones last
     */
    public Map<Fingerprint, Set<CrashId>> poison() {
        final Map<Fingerprint, Set<CrashId>> poison = new LinkedHashMap<>();
        records.forEach((fingerprint, known) -> {
            if (known.crashes.size() >= POISON_THRESHOLD && !expired(known)) {
                poison.put(fingerprint, Set.copyOf(known.crashes));
            }
        });
        return poison;
    }

    /**
     * Returns the number of fingerprints with a recorded crash.
     *
     * @return the number of fingerprints
     */
    public int size() {
        return records.size();
    }

    private void expire() {
        final Iterator<CrashRecord> eldest = records.values().iterator();
        while (eldest.hasNext()) {
            final CrashRecord next = eldest.next();
            if (records.size() <= MAX_FINGERPRINTS && !expired(next)) {
                return;
            }
            eldest.remove();
        }
    }

    private boolean expired(final CrashRecord known) {
        return timers.nanoTime() - known.lastCrashNanos >= TTL.toNanos();
    }

    /** How a request is treated, depending on the targets that it has crashed. Immutable and thread-safe. */
    public enum Verdict {
        /** The request has crashed no target. */
        CLEAN,
        /**
         * The request has crashed one target: it may run once more, in an exclusive trial, without internal retries.
         */
        SUSPECT,
        /** The request has crashed two targets: it is rejected. */
        POISON
    }

    /** The crashes of one fingerprint that were dropped, and when. Immutable and thread-safe. */
    private record Cleared(Set<CrashId> crashes, long nanos) {}

    /** The crashes of one fingerprint. Confined to the decision loop. */
    private static final class CrashRecord {
        private final Set<CrashId> crashes = new HashSet<>();
        private long lastCrashNanos;

        CrashRecord(final long lastCrashNanos) {
            this.lastCrashNanos = lastCrashNanos;
        }
    }
}
