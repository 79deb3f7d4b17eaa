package org.balsambank.core.partition;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Computes majorities of voter sets.
 *
 * <p>Stateless and thread-safe. Invariant: for each voter set, the voters that keep a version in force and the voters
 * that confirm a takeover have at least one live voter in common.
 */
final class Quorum {
    private Quorum() {}

    /**
     * Returns whether no earlier version can be in force any more, because in each voter set the voters that have not
     * adopted the new version are less than a majority.
     *
     * @param voterSets the voter sets
     * @param adopted whether a voter has adopted the version and its earlier promises have expired
     * @param gone whether a voter has been permanently gone for longer than a promise lasts
     * @return true if all earlier versions are superseded
     */
    static boolean superseded(
            final List<Set<Voter>> voterSets, final Predicate<Voter> adopted, final Predicate<Voter> gone) {
        return voterSets.stream().allMatch(set -> set.size() - count(set, adopted.or(gone)) < majority(set.size()));
    }

    /**
     * Returns the size of a majority.
     *
     * @param size the number of voters
     * @return the smallest number that is more than half of them
     */
    static int majority(final int size) {
        return size / 2 + 1;
    }

    private static long count(final Collection<Voter> voters, final Predicate<Voter> predicate) {
        return voters.stream().filter(predicate).count();
    }
}
