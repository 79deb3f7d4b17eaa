package org.balsambank.core.partition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.VmId;

/**
 * Plans assignments from the current assignment and the membership.
 *
 * <p>Stateless and thread-safe. Invariant: a plan takes a partition only from a registration whose lease has ended, or
 * from the planning VM itself.
 */
final class AssignmentPlanner {
    /** The load below which a VM gets more partitions, in multiples of the mean. */
    private static final double MIN_LOAD_FACTOR = 0.75;

    private AssignmentPlanner() {}

    /**
     * Plans an assignment in which each partition has a live owner and the eligible members are the voters.
     *
     * @param current the assignment in force
     * @param members the members, read no earlier than the assignment
     * @param confirmed whether the assignment in force is confirmed, so that older voter sets can be dropped
     * @param writeId the id of the write attempt
     * @return the new assignment, or empty if nothing changes or no VM is eligible
     */
    static Optional<Assignment> repair(
            final Assignment current, final Membership members, final boolean confirmed, final String writeId) {
        if (members.eligible().isEmpty()) {
            return Optional.empty();
        }
        final List<PartitionState> partitions = repairedStates(current, members);
        final List<Set<Voter>> voters = nextVoterSets(current, members, confirmed);
        if (partitions.equals(current.partitions()) && voters.equals(current.voterSets())) {
            return Optional.empty();
        }
        return Optional.of(current.next(writeId, voters, partitions));
    }

    /**
     * Returns the fraction of the partitions whose owner's registration is not live.
     *
     * @param current the assignment in force
     * @param members the members of the fleet, as last read
     * @return the fraction, from 0 to 1
     */
    static double fractionWithoutOwner(final Assignment current, final Membership members) {
        final long count = current.partitions().stream()
                .filter(state -> state.owner().isPresent())
                .filter(state -> !members.live().contains(state.owner().get()))
                .count();
        return (double) count / current.partitions().size();
    }

    /**
     * Selects the partitions that this VM should hand over: all of them if it is not eligible, else only those that
     * bring the loads closer to the mean, so that partitions do not move for small differences.
     *
     * @param current the assignment in force
     * @param members the members of the fleet, as last read
     * @param self this VM's newest registration
     * @return the next owner of each partition that this VM should hand over
     */
    static Map<PartitionId, Member> handOverCandidates(
            final Assignment current, final Membership members, final Member self) {
        final Map<PartitionId, Member> moves = new TreeMap<>();
        if (members.eligible().isEmpty()) {
            return moves;
        }
        final Map<VmId, Integer> loads = loads(current);
        final double mean =
                (double) current.partitions().size() / members.eligible().size();
        final boolean eligible = members.eligible().contains(self.vm());
        final List<VmId> owners = PartitionPlacement.owners(current.partitions().size(), members.eligible());
        for (int i = 0; i < owners.size(); i++) {
            final VmId preferred = owners.get(i);
            if (!current.partitions().get(i).ownedBy(self) || preferred.equals(self.vm())) {
                continue;
            }
            final boolean overloaded = loads.get(self.vm()) > Math.ceil(PartitionPlacement.MAX_LOAD_FACTOR * mean);
            if (!eligible || overloaded || loads.getOrDefault(preferred, 0) < MIN_LOAD_FACTOR * mean) {
                moves.put(new PartitionId(i), members.newest().get(preferred));
                loads.merge(preferred, 1, Integer::sum);
                loads.merge(self.vm(), -1, Integer::sum);
            }
        }
        return moves;
    }

    /**
     * Plans the assignment after a handover.
     *
     * @param current the assignment in force
     * @param moves the next owner of each partition that is handed over
     * @param confirmed whether the assignment in force is confirmed
     * @param writeId the id of the write attempt
     * @return the new assignment
     */
    static Assignment handOver(
            final Assignment current,
            final Map<PartitionId, Member> moves,
            final boolean confirmed,
            final String writeId) {
        final List<PartitionState> partitions = new ArrayList<>(current.partitions());
        moves.forEach((partition, next) -> partitions.set(
                partition.value(), partitions.get(partition.value()).withOwner(next, true)));
        final List<Set<Voter>> voters = confirmed ? List.of(current.newestVoters()) : current.voterSets();
        return current.next(writeId, voters, partitions);
    }

    private static Map<VmId, Integer> loads(final Assignment current) {
        final Map<VmId, Integer> loads = new HashMap<>();
        current.partitions()
                .forEach(state -> state.owner().ifPresent(owner -> loads.merge(owner.vm(), 1, Integer::sum)));
        return loads;
    }

    private static List<PartitionState> repairedStates(final Assignment current, final Membership members) {
        final List<VmId> preferred =
                PartitionPlacement.owners(current.partitions().size(), members.eligible());
        final Map<Voter, Member> processes = new HashMap<>();
        members.live()
                .forEach(member ->
                        processes.merge(member.voter(), member, (a, b) -> a.registration() > b.registration() ? a : b));
        final List<PartitionState> partitions = new ArrayList<>(preferred.size());
        for (int i = 0; i < preferred.size(); i++) {
            final PartitionState state = current.partitions().get(i);
            final Member next = members.newest().get(preferred.get(i));
            partitions.add(state.owner()
                    .map(owner -> repaired(state, owner, next, members, processes))
                    .orElseGet(() -> state.withOwner(next, true)));
        }
        return partitions;
    }

    private static PartitionState repaired(
            final PartitionState state,
            final Member owner,
            final Member next,
            final Membership members,
            final Map<Voter, Member> processes) {
        if (members.live().contains(owner)) {
            return state;
        }
        final Member sameProcess = processes.get(owner.voter());
        return sameProcess == null ? state.withOwner(next, false) : state.withRegistration(sameProcess);
    }

    private static List<Set<Voter>> nextVoterSets(
            final Assignment current, final Membership members, final boolean confirmed) {
        final Set<Voter> voters = members.voters();
        final List<Set<Voter>> sets = new ArrayList<>(
                confirmed && !current.voterSets().isEmpty() ? List.of(current.newestVoters()) : current.voterSets());
        if (!voters.equals(current.newestVoters())) {
            sets.add(voters);
        }
        return sets;
    }
}
