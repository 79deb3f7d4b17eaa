package org.balsambank.core.serving.poison;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.target.CrashId;

/**
 * The evidence that a part of prompts crashes targets: the crashes since a request with the part was last answered.
 *
 * <p>VMs merge what they know in any order and reach the same result. A request that was answered starts a new epoch;
 * evidence of an older epoch is void. Immutable and thread-safe.
 *
 * @param epoch the number of times that the part was cleared
 * @param suspicion the weights of successive crashes, added up: a crash adds to those that were known when its request
 *     was sent, so that crashes at the same moment count once
 * @param crashes the crashes in which requests with the part were in flight, at most {@value #MAX_CRASHES}
 */
record PartEvidence(long epoch, int suspicion, Set<CrashId> crashes) {
    /** No crash is known. */
    static final PartEvidence NONE = new PartEvidence(0, 0, Set.of());

    private static final int MAX_CRASHES = 32;
    private static final int WEIGHT_BEGUN = 3;
    private static final int WEIGHT_WAITING = 2;
    private static final int CANDIDATE_THRESHOLD = 3;
    private static final int SUSPECT_THRESHOLD = 6;

    /** Copies the crashes. */
    PartEvidence {
        crashes = Set.copyOf(crashes);
    }

    /** Returns whether the part may be the cause of its crashes, so that they are no proof against others. */
    boolean candidate() {
        return suspicion >= CANDIDATE_THRESHOLD;
    }

    /**
     * Returns whether the part is a suspect: two successive crashes ended responses that had just begun, or three ended
     * requests with the part, and none was answered in between.
     */
    boolean suspect() {
        return suspicion >= SUSPECT_THRESHOLD;
    }

    /**
     * Adds a crash.
     *
     * @param crash the crash
     * @param atSend the evidence known when the request that was in flight was sent
     * @param begun whether its response had begun; such a request is more likely the cause than one that was waiting
     * @return the evidence with the crash
     */
    PartEvidence withCrash(final CrashId crash, final PartEvidence atSend, final boolean begun) {
        final PartEvidence known = atSend.epoch == epoch ? atSend : new PartEvidence(epoch, 0, Set.of());
        if (known.crashes.contains(crash)) {
            return this;
        }
        final int weighted = known.suspicion + (begun ? WEIGHT_BEGUN : WEIGHT_WAITING);
        return union(Math.max(suspicion, weighted), Set.of(crash));
    }

    /** Returns the evidence after a request with the part was answered. */
    PartEvidence cleared() {
        return new PartEvidence(epoch + 1, 0, Set.of());
    }

    /** Combines the evidence with that of another VM. */
    PartEvidence merge(final PartEvidence other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        return union(Math.max(suspicion, other.suspicion), other.crashes);
    }

    private PartEvidence union(final int newSuspicion, final Set<CrashId> added) {
        final Set<CrashId> all = new HashSet<>(crashes);
        for (final CrashId each : added) {
            if (all.size() < MAX_CRASHES) {
                all.add(each);
            }
        }
        return new PartEvidence(epoch, newSuspicion, all);
    }
}
