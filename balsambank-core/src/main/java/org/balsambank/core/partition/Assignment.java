package org.balsambank.core.partition;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * One version of the assignment of partitions to owners.
 *
 * <p>Immutable and thread-safe. Invariants: each swap increments the version; the epoch of a partition never decreases
 * from one version to a later one; the newest voter set of a version remains among the voter sets of all later versions
 * until one of them is confirmed.
 *
 * @param version the version, 0 before the first swap
 * @param writeId unique for each write attempt
 * @param voterSets the voter sets, newest last
 * @param partitions the state of each partition, indexed by its number
 */
record Assignment(long version, String writeId, List<Set<Voter>> voterSets, List<PartitionState> partitions) {
    /** Copies the collections. */
    Assignment {
        Objects.requireNonNull(writeId);
        voterSets = List.copyOf(voterSets);
        partitions = List.copyOf(partitions);
    }

    /**
     * Returns the assignment before the first swap.
     *
     * @param partitions the number of partitions
     * @return an assignment without owners and voters
     */
    static Assignment empty(final int partitions) {
        return new Assignment(0, "", List.of(), Collections.nCopies(partitions, PartitionState.UNOWNED));
    }

    /**
     * Returns the newest voter set.
     *
     * @return the set, empty before the first swap
     */
    Set<Voter> newestVoters() {
        return voterSets.isEmpty() ? Set.of() : voterSets.get(voterSets.size() - 1);
    }

    /**
     * Returns the next version with other partition states and voter sets.
     *
     * @param nextWriteId the id of the write attempt
     * @param nextVoterSets the voter sets
     * @param nextPartitions the states of the partitions
     * @return the assignment with the next version
     */
    Assignment next(
            final String nextWriteId, final List<Set<Voter>> nextVoterSets, final List<PartitionState> nextPartitions) {
        return new Assignment(version + 1, nextWriteId, nextVoterSets, nextPartitions);
    }
}
