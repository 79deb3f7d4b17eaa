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
 * The members of the fleet at one revision of the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the key-value service at which the members were read
 * @param live the registrations whose lease has not ended
 * @param newest the newest live registration of each VM
 * @param eligible the VMs that may own partitions and vote: not excluded, and their newest registration is not stopping
 */
record Membership(long revision, Set<Member> live, Map<VmId, Member> newest, Set<VmId> eligible) {
    /** The membership before the first read. */
    static final Membership UNKNOWN = new Membership(0, Set.of(), Map.of(), Set.of());

    /** Copies the collections. */
    Membership {
        live = Set.copyOf(live);
        newest = Map.copyOf(newest);
        eligible = Set.copyOf(eligible);
    }

    /**
     * Derives the membership from the registrations.
     *
     * @param revision the revision of the key-value service at which the registrations were read
     * @param registrations all registrations whose lease has not ended
     * @param excluded the VMs that may not own partitions
     * @return the membership
     */
    static Membership of(final long revision, final Collection<MemberEntry> registrations, final Set<VmId> excluded) {
        final Map<VmId, MemberEntry> newest = new TreeMap<>();
        final Set<Member> live = new HashSet<>();
        for (final MemberEntry registration : registrations) {
            live.add(registration.member());
            newest.merge(registration.member().vm(), registration, (a, b) -> a.revision() > b.revision() ? a : b);
        }
        final Set<VmId> eligible = newest.values().stream()
                .filter(registration -> !registration.record().getStopping())
                .map(registration -> registration.member().vm())
                .filter(vm -> !excluded.contains(vm))
                .collect(Collectors.toSet());
        final Map<VmId, Member> members = new TreeMap<>();
        newest.forEach((vm, registration) -> members.put(vm, registration.member()));
        return new Membership(revision, live, members, eligible);
    }

    /**
     * Returns the processes that may vote on the next assignment of partitions to VMs.
     *
     * @return the newest process of each eligible VM
     */
    Set<Voter> voters() {
        return eligible.stream().map(vm -> newest.get(vm).voter()).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Returns whether another process of the voter's VM holds the VM's newest registration.
     *
     * @param voter a process of a voter set
     * @return true if the newest registration has another boot id; false if the VM is not registered
     */
    boolean replaced(final Voter voter) {
        final Member member = newest.get(voter.vm());
        return member != null && !member.boot().equals(voter.boot());
    }
}
