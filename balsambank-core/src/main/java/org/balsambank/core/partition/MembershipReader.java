package org.balsambank.core.partition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueSnapshot;
import org.balsambank.core.port.VmEntry;
import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * Reads who is a member and who may get partitions.
 *
 * <p>Confined to the decision loop. The leases are the authority; the VM list and the catalogue only take VMs out.
 */
final class MembershipReader {
    private static final Duration UNLISTED_LIMIT = Duration.ofSeconds(30);

    private final OwnershipPorts ports;
    private final long promiseNanos;
    private final Map<Voter, Long> replacedSince = new HashMap<>();
    private final Map<VmId, Long> unlistedSince = new HashMap<>();
    private final Set<VmId> everListed = new HashSet<>();
    private final Set<VmId> leaving = new HashSet<>();
    private List<MemberEntry> registrations = List.of();
    private long revision;

    /**
     * Creates a scan that has read nothing.
     *
     * @param ports the outside
     * @param settings the durations
     */
    MembershipReader(final OwnershipPorts ports, final OwnershipSettings settings) {
        this.ports = ports;
        promiseNanos = settings.promiseFor().toNanos();
    }

    /**
     * Reads the registrations.
     *
     * @return the members; fails with a {@code KeyValueException}
     */
    Single<Membership> read() {
        return ports.store().list(MemberLease.PREFIX).map(snapshot -> {
            registrations = parse(snapshot);
            revision = snapshot.revision();
            return members();
        });
    }

    /**
     * Reads the VM list.
     *
     * @return completes also if the list can't be read
     */
    Completable readVmList() {
        return ports.vms().list().doOnSuccess(this::takeList).ignoreElement().onErrorComplete();
    }

    /**
     * Returns the members as last read, with the VMs that are out at this instant.
     *
     * @return the members
     */
    Membership members() {
        return Membership.of(revision, registrations, outOfService());
    }

    /**
     * Returns the VMs whose lease had not ended when the registrations were last read, as they registered.
     *
     * @return the VMs, each once
     */
    List<VmEntry> registered() {
        final Map<VmId, MemberEntry> newest = new TreeMap<>();
        registrations.forEach(registration ->
                newest.merge(registration.member().vm(), registration, (a, b) -> a.revision() > b.revision() ? a : b));
        return newest.values().stream().map(this::describe).toList();
    }

    private VmEntry describe(final MemberEntry registration) {
        final MemberRecord entry = registration.entry();
        final VmId vm = registration.member().vm();
        return new VmEntry(
                vm,
                new FailureDomain(entry.getFailureDomain()),
                entry.getHost(),
                entry.getPeerPort(),
                entry.getStopping() || leaving.contains(vm));
    }

    /**
     * Tells whether a VM may get no partitions.
     *
     * @param vm the VM
     * @param domain its failure domain
     * @return true if it is out or leaving
     */
    boolean out(final VmId vm, final FailureDomain domain) {
        final Catalogue catalogue = ports.catalogue().current();
        return leaving.contains(vm)
                || catalogue.vmsOut().contains(vm)
                || catalogue.domainsOut().contains(domain);
    }

    /**
     * Notes which voters look gone now, so that {@link #gone} can tell for how long.
     *
     * @param voterSets the voter sets of the assignment in force
     */
    void noteGone(final List<Set<Voter>> voterSets) {
        final Membership members = members();
        final long now = ports.timer().nanoTime();
        final Set<Voter> replaced = new HashSet<>();
        voterSets.forEach(set -> set.stream().filter(members::replaced).forEach(replaced::add));
        replacedSince.keySet().retainAll(replaced);
        replaced.forEach(voter -> replacedSince.putIfAbsent(voter, now));
        unlistedSince.keySet().removeAll(members.newest().keySet());
    }

    /**
     * Tells whether a voter is gone for good, for longer than a promise lasts.
     *
     * @param voter the voter
     * @return true if its VM runs a newer process, or has left the VM list and has no lease
     */
    boolean gone(final Voter voter) {
        return olderThan(replacedSince.get(voter), promiseNanos)
                || olderThan(unlistedSince.get(voter.vm()), promiseNanos + UNLISTED_LIMIT.toNanos());
    }

    private boolean olderThan(final Long since, final long nanos) {
        return since != null && ports.timer().nanoTime() - since >= nanos;
    }

    private void takeList(final List<VmEntry> entries) {
        final Set<VmId> listed = new HashSet<>();
        leaving.clear();
        for (final VmEntry entry : entries) {
            listed.add(entry.id());
            if (entry.leaving()) {
                leaving.add(entry.id());
            }
        }
        final long now = ports.timer().nanoTime();
        everListed.addAll(listed);
        unlistedSince.keySet().removeAll(listed);
        everListed.stream().filter(vm -> !listed.contains(vm)).forEach(vm -> unlistedSince.putIfAbsent(vm, now));
    }

    private Set<VmId> outOfService() {
        final Set<VmId> out = new HashSet<>();
        for (final MemberEntry registration : registrations) {
            final VmId vm = registration.member().vm();
            if (out(vm, new FailureDomain(registration.entry().getFailureDomain()))) {
                out.add(vm);
            }
        }
        return out;
    }

    private static List<MemberEntry> parse(final KeyValueSnapshot snapshot) throws Exception {
        final List<MemberEntry> parsed = new ArrayList<>();
        for (final KeyValueEntry entry : snapshot.entries()) {
            final MemberRecord entryValue = MemberRecord.parseFrom(entry.value());
            parsed.add(new MemberEntry(AssignmentCodec.decode(entryValue.getMember()), entryValue, entry.revision()));
        }
        return parsed;
    }
}
