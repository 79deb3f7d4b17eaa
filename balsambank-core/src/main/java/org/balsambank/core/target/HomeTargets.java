package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.catalogue.Target;

/**
 * Finds the homes of an adapter: the first targets of its rendezvous order, the second one in another failure domain
 * than the first if there is one.
 *
 * <p>Invariant: a target that leaves moves only the adapters that had it among their homes. Stateless and thread-safe.
 */
final class HomeTargets {
    private HomeTargets() {}

    /**
     * Returns the homes.
     *
     * @param subject the hash of the adapter
     * @param candidates the targets to choose from
     * @param count how many homes to return at the most
     * @return the homes, the first one first
     */
    static List<Target> homes(final long subject, final List<HashedTarget> candidates, final int count) {
        final List<Target> homes = new ArrayList<>(count);
        while (homes.size() < Math.min(count, candidates.size())) {
            homes.add(best(subject, candidates, homes));
        }
        return homes;
    }

    private static Target best(final long subject, final List<HashedTarget> candidates, final List<Target> taken) {
        Target best = null;
        long bestScore = 0;
        boolean bestElsewhere = false;
        for (final HashedTarget candidate : candidates) {
            final long score = RendezvousHash.score(subject, candidate.hash());
            final boolean elsewhere = taken.size() == 1 && elsewhere(candidate.target(), taken.get(0));
            final boolean better = best == null || (elsewhere == bestElsewhere ? score > bestScore : elsewhere);
            if (better && !taken.contains(candidate.target())) {
                best = candidate.target();
                bestScore = score;
                bestElsewhere = elsewhere;
            }
        }
        return best;
    }

    private static boolean elsewhere(final Target target, final Target other) {
        return !target.failureDomain().equals(other.failureDomain());
    }
}
