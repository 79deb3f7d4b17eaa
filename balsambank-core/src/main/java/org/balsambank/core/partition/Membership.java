package org.balsambank.core.partition;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.balsambank.core.id.VmId;

/**
 * The members of the fleet as of one revision of the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the store that the members show
 * @param live the registrations whose lease has not ended
 * @param newest the newest live registration of each VM
 * @param eligible the VMs that may get partitions
 */
record Membership(long revision, Set<Member> live, Map<VmId, Member> newest, Set<VmId> eligible) {
    /** What is known before the first read. */
    static final Membership UNKNOWN = new Membership(0, Set.of(), Map.of(), Set.of());

    /** Takes copies of the collections. */
    Membership {
        live = Set.copyOf(live);
        newest = Map.copyOf(newest);
        eligible = Set.copyOf(eligible);
    }

    /**
     * Puts a list of registrations in order.
     *
     * @param revision the revision of the store
     * @param registrations the registrations
     * @param outOfService the VMs that may get no partitions
     * @return the members
     */
    static Membership of(
            final long revision, final Collection<MemberEntry> registrations, final Set<VmId> outOfService) {
        final Map<VmId, MemberEntry> newest = new TreeMap<>();
        final Set<Member> live = new HashSet<>();
        for (final MemberEntry registration : registrations) {
            live.add(registration.member());
            newest.merge(registration.member().vm(), registration, (a, b) -> a.revision() > b.revision() ? a : b);
        }
        final Set<VmId> eligible = newest.values().stream()
                .filter(registration -> !registration.entry().getStopping())
                .map(registration -> registration.member().vm())
                .filter(vm -> !outOfService.contains(vm))
                .collect(Collectors.toSet());
        final Map<VmId, Member> members = new TreeMap<>();
        newest.forEach((vm, registration) -> members.put(vm, registration.member()));
        return new Membership(revision, live, members, eligible);
    }

    /**
     * Returns the processes that may vote on the next assignment.
     *
     * @return the newest process of each eligible VM, in order
     */
    Set<Voter> voters() {
        return eligible.stream().map(vm -> newest.get(vm).voter()).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Tells whether a voter's VM runs a newer process.
     *
     * @param voter the voter
     * @return true if the voter's process has been replaced
     */
    boolean replaced(final Voter voter) {
        final Member member = newest.get(voter.vm());
        return member != null && !member.boot().equals(voter.boot());
    }
}
