package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.List;

import org.balsambank.core.catalogue.Target;

/**
 * Selects the home targets of an adapter, on which it is preferably loaded: those with the highest rendezvous scores,
 * except that the second home is in another failure domain than the first if possible.
 *
 * <p>Invariant: removing a target moves only the adapters that had it among their homes. Stateless and thread-safe.
 */
final class HomeTargets {
    private HomeTargets() {}

    /**
     * Returns the home targets of an adapter.
     *
     * @param adapterHash the hash of the adapter
     * @param candidates the targets to choose from
     * @param count the maximum number of homes
     * @return the homes, in order of preference
     */
    static List<Target> homes(final long adapterHash, final List<HashedTarget> candidates, final int count) {
        final List<Target> homes = new ArrayList<>(count);
        while (homes.size() < Math.min(count, candidates.size())) {
            homes.add(best(adapterHash, candidates, homes));
        }
        return homes;
    }

    private static Target best(final long adapterHash, final List<HashedTarget> candidates, final List<Target> chosen) {
        Target best = null;
        long bestScore = 0;
        boolean bestInOtherDomain = false;
        for (final HashedTarget candidate : candidates) {
            final long score = RendezvousHash.score(adapterHash, candidate.hash());
            final boolean inOtherDomain = chosen.size() == 1 && inOtherDomain(candidate.target(), chosen.get(0));
            final boolean better =
                    best == null || (inOtherDomain == bestInOtherDomain ? score > bestScore : inOtherDomain);
            if (better && !chosen.contains(candidate.target())) {
                best = candidate.target();
                bestScore = score;
                bestInOtherDomain = inOtherDomain;
            }
        }
        return best;
    }

    private static boolean inOtherDomain(final Target target, final Target other) {
        return !target.failureDomain().equals(other.failureDomain());
    }
}
