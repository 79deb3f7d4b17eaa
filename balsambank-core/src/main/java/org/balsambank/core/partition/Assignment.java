package org.balsambank.core.partition;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * One state of the assignment from partitions to owners.
 *
 * <p>Immutable and thread-safe. Invariants: the version goes up by one with each swap; the epoch of a partition never
 * goes down from one version to a later one; the newest voter set of a version stays among the voter sets of all later
 * versions until one of them is confirmed.
 *
 * @param version numbers the states
 * @param writeId unique for each attempt to write
 * @param voterSets the voters, the newest set last
 * @param partitions what each partition has, by its number
 */
record Assignment(long version, String writeId, List<Set<Voter>> voterSets, List<PartitionState> partitions) {
    /** Takes copies of the collections. */
    Assignment {
        Objects.requireNonNull(writeId);
        voterSets = List.copyOf(voterSets);
        partitions = List.copyOf(partitions);
    }

    /**
     * Returns the state before the first swap.
     *
     * @param partitions the number of partitions
     * @return an assignment without owners and voters
     */
    static Assignment empty(final int partitions) {
        return new Assignment(0, "", List.of(), Collections.nCopies(partitions, PartitionState.FREE));
    }

    /**
     * Returns the newest voters.
     *
     * @return the set, empty before the first swap
     */
    Set<Voter> newestVoters() {
        return voterSets.isEmpty() ? Set.of() : voterSets.get(voterSets.size() - 1);
    }

    /**
     * Returns the next state with other slots and voter sets.
     *
     * @param nextWriteId the id of the attempt
     * @param nextVoterSets the voter sets
     * @param nextSlots the slots
     * @return the assignment with the next version
     */
    Assignment next(
            final String nextWriteId, final List<Set<Voter>> nextVoterSets, final List<PartitionState> nextSlots) {
        return new Assignment(version + 1, nextWriteId, nextVoterSets, nextSlots);
    }
}
