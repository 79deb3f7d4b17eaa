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
 * Counts the targets that were lost while they ran a request.
 *
 * <p>Invariants: a loss counts once for each fingerprint, whoever reports it and how often; at most
 * {@value #MAX_FINGERPRINTS} fingerprints are kept, the ones with the latest losses. Confined to the decision loop.
 */
public final class PoisonRequestRegistry {
    private static final int LOSSES_OF_POISON = 2;
    private static final int MAX_FINGERPRINTS = 10_000;
    private static final long EXPIRY_NANOS = Duration.ofHours(24).toNanos();

    private final TimerService timers;
    private final Map<Fingerprint, Losses> losses = new LinkedHashMap<>();

    /**
     * Creates an empty register.
     *
     * @param timers gives the time
     */
    public PoisonRequestRegistry(final TimerService timers) {
        this.timers = Objects.requireNonNull(timers);
    }

    /**
     * Tells how many targets a request has cost.
     *
     * @param fingerprint what would run
     * @return the verdict
     */
    public Verdict verdict(final Fingerprint fingerprint) {
        expire();
        final int count = crashes(fingerprint).size();
        if (count == 0) {
            return Verdict.CLEAN;
        }
        return count < LOSSES_OF_POISON ? Verdict.SUSPECT : Verdict.POISON;
    }

    /**
     * Takes note of a loss.
     *
     * @param fingerprint what ran
     * @param crash the loss
     * @return true if it was not known
     */
    public boolean record(final Fingerprint fingerprint, final CrashId crash) {
        final Losses known = losses.remove(fingerprint);
        final Losses updated = known == null ? new Losses() : known;
        final boolean added = updated.crashes.add(crash);
        updated.lastNanos = timers.nanoTime();
        losses.put(fingerprint, updated);
        expire();
        return added;
    }

    /**
     * Takes back a loss: the target was only out of reach.
     *
     * @param crash the loss that was none
     * @return true if it was known
     */
    public boolean retract(final CrashId crash) {
        boolean known = false;
        for (final Losses each : losses.values()) {
            known |= each.crashes.remove(crash);
        }
        losses.values().removeIf(each -> each.crashes.isEmpty());
        return known;
    }

    /**
     * Returns the losses of a request.
     *
     * @param fingerprint what would run
     * @return the losses that are known
     */
    public Set<CrashId> crashes(final Fingerprint fingerprint) {
        final Losses known = losses.get(fingerprint);
        return known == null ? Set.of() : Set.copyOf(known.crashes);
    }

    /**
     * Returns all losses, for a VM that starts.
     *
     * @return a notice for each loss of each fingerprint
     */
    List<CrashNotice> notices() {
        final List<CrashNotice> notices = new ArrayList<>();
        losses.forEach((fingerprint, known) ->
                known.crashes.forEach(crash -> notices.add(CrashMessages.notice(crash, List.of(fingerprint)))));
        return notices;
    }

    /**
     * Returns the number of fingerprints with a loss.
     *
     * @return the number
     */
    public int size() {
        return losses.size();
    }

    private void expire() {
        final long now = timers.nanoTime();
        final Iterator<Losses> eldest = losses.values().iterator();
        while (eldest.hasNext()) {
            final Losses next = eldest.next();
            if (losses.size() <= MAX_FINGERPRINTS && now - next.lastNanos < EXPIRY_NANOS) {
                return;
            }
            eldest.remove();
        }
    }

    /** What is to be done with a request. */
    public enum Verdict {
        /** It has cost no target. */
        CLEAN,
        /** It has cost one target: it may run once more, alone, and is not repeated by ourselves. */
        SUSPECT,
        /** It has cost two targets: it is refused. */
        POISON
    }

    /** The losses of one fingerprint. */
    private static final class Losses {
        private final Set<CrashId> crashes = new HashSet<>();
        private long lastNanos;
    }
}
