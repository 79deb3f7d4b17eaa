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
 * Plans assignments from what is known of the members.
 *
 * <p>Stateless and thread-safe. Invariant: a plan takes a partition only from a registration whose lease has ended, or
 * from the planning VM itself.
 */
final class AssignmentPlanner {
    /** The load below which a VM is given more, in multiples of the mean. */
    private static final double MIN_LOAD_FACTOR = 0.75;

    private AssignmentPlanner() {}

    /**
     * Plans an assignment in which each partition has a live owner and the members are the voters.
     *
     * @param current the assignment in force
     * @param members the members, read after the assignment
     * @param confirmed whether the assignment in force is confirmed, so that older voter sets may go
     * @param writeId the id of the attempt to write
     * @return the new assignment, or empty if there is nothing to change or nobody to own anything
     */
    static Optional<Assignment> repair(
            final Assignment current, final Membership members, final boolean confirmed, final String writeId) {
        if (members.eligible().isEmpty()) {
            return Optional.empty();
        }
        final List<PartitionState> slots = repairedSlots(current, members);
        final List<Set<Voter>> voters = nextVoterSets(current, members, confirmed);
        if (slots.equals(current.partitions()) && voters.equals(current.voterSets())) {
            return Optional.empty();
        }
        return Optional.of(current.next(writeId, voters, slots));
    }

    /**
     * Returns the share of the partitions whose owner's lease has ended without a new registration.
     *
     * @param current the assignment in force
     * @param members the members
     * @return the share, from 0 to 1
     */
    static double shareWithoutOwner(final Assignment current, final Membership members) {
        final long without = current.partitions().stream()
                .filter(slot -> slot.owner().isPresent())
                .filter(slot -> !members.live().contains(slot.owner().get()))
                .count();
        return (double) without / current.partitions().size();
    }

    /**
     * Chooses what this VM ought to hand over: everything if it may own nothing, else only what brings the load closer
     * to the mean, so that partitions do not move for small differences.
     *
     * @param current the assignment in force
     * @param members the members
     * @param self this VM's newest registration
     * @return the next owner of each partition of this VM that another one ought to have
     */
    static Map<PartitionId, Member> excess(final Assignment current, final Membership members, final Member self) {
        final Map<PartitionId, Member> moves = new TreeMap<>();
        if (members.eligible().isEmpty()) {
            return moves;
        }
        final Map<VmId, Integer> loads = loads(current);
        final double mean =
                (double) current.partitions().size() / members.eligible().size();
        final boolean mayOwn = members.eligible().contains(self.vm());
        final List<VmId> owners = PartitionPlacement.owners(current.partitions().size(), members.eligible());
        for (int i = 0; i < owners.size(); i++) {
            final VmId wanted = owners.get(i);
            if (!current.partitions().get(i).ownedBy(self) || wanted.equals(self.vm())) {
                continue;
            }
            final boolean overloaded = loads.get(self.vm()) > Math.ceil(PartitionPlacement.MAX_LOAD_FACTOR * mean);
            if (!mayOwn || overloaded || loads.getOrDefault(wanted, 0) < MIN_LOAD_FACTOR * mean) {
                moves.put(new PartitionId(i), members.newest().get(wanted));
                loads.merge(wanted, 1, Integer::sum);
                loads.merge(self.vm(), -1, Integer::sum);
            }
        }
        return moves;
    }

    /**
     * Plans the assignment after a hand-over.
     *
     * @param current the assignment in force
     * @param moves the next owner of each partition that is handed over
     * @param confirmed whether the assignment in force is confirmed
     * @param writeId the id of the attempt to write
     * @return the new assignment
     */
    static Assignment handOver(
            final Assignment current,
            final Map<PartitionId, Member> moves,
            final boolean confirmed,
            final String writeId) {
        final List<PartitionState> slots = new ArrayList<>(current.partitions());
        moves.forEach((partition, next) ->
                slots.set(partition.value(), slots.get(partition.value()).moveTo(next, true)));
        final List<Set<Voter>> voters = confirmed ? List.of(current.newestVoters()) : current.voterSets();
        return current.next(writeId, voters, slots);
    }

    private static Map<VmId, Integer> loads(final Assignment current) {
        final Map<VmId, Integer> loads = new HashMap<>();
        current.partitions().forEach(slot -> slot.owner().ifPresent(owner -> loads.merge(owner.vm(), 1, Integer::sum)));
        return loads;
    }

    private static List<PartitionState> repairedSlots(final Assignment current, final Membership members) {
        final List<VmId> wanted = PartitionPlacement.owners(current.partitions().size(), members.eligible());
        final Map<Voter, Member> processes = new HashMap<>();
        members.live()
                .forEach(member ->
                        processes.merge(member.voter(), member, (a, b) -> a.registration() > b.registration() ? a : b));
        final List<PartitionState> slots = new ArrayList<>(wanted.size());
        for (int i = 0; i < wanted.size(); i++) {
            final PartitionState slot = current.partitions().get(i);
            final Member next = members.newest().get(wanted.get(i));
            slots.add(slot.owner()
                    .map(owner -> repaired(slot, owner, next, members, processes))
                    .orElseGet(() -> slot.moveTo(next, true)));
        }
        return slots;
    }

    private static PartitionState repaired(
            final PartitionState slot,
            final Member owner,
            final Member next,
            final Membership members,
            final Map<Voter, Member> processes) {
        if (members.live().contains(owner)) {
            return slot;
        }
        final Member sameProcess = processes.get(owner.voter());
        return sameProcess == null ? slot.moveTo(next, false) : slot.relabel(sameProcess);
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
