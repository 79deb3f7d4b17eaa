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
 * Reads the members and determines which of them may own partitions.
 *
 * <p>Confined to the decision loop. The leases decide who is a member; the VM list and the catalogue can only exclude
 * VMs.
 */
final class MembershipReader {
    private static final Duration UNLISTED_TIMEOUT = Duration.ofSeconds(30);

    private final OwnershipPorts ports;
    private final long promiseNanos;
    private final Map<Voter, Long> replacedSince = new HashMap<>();
    private final Map<VmId, Long> unlistedSince = new HashMap<>();
    private final Set<VmId> everListed = new HashSet<>();
    private final Set<VmId> leaving = new HashSet<>();
    private List<MemberEntry> registrations = List.of();
    private long revision;

    /**
     * Creates a reader that has read nothing yet.
     *
     * @param ports the external dependencies
     * @param settings the ownership settings
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
     * @return completes even if the list cannot be read
     */
    Completable readVmList() {
        return ports.vms().list().doOnSuccess(this::onVmList).ignoreElement().onErrorComplete();
    }

    /**
     * Returns the members as last read, with the VMs that are excluded at this instant.
     *
     * @return the members
     */
    Membership members() {
        return Membership.of(revision, registrations, excludedVms());
    }

    /**
     * Returns the VMs whose lease had not ended when the registrations were last read.
     *
     * @return the newest registration of each VM
     */
    List<VmEntry> registeredVms() {
        final Map<VmId, MemberEntry> newest = new TreeMap<>();
        registrations.forEach(registration ->
                newest.merge(registration.member().vm(), registration, (a, b) -> a.revision() > b.revision() ? a : b));
        return newest.values().stream().map(this::toVmEntry).toList();
    }

    private VmEntry toVmEntry(final MemberEntry registration) {
        final MemberRecord record = registration.record();
        final VmId vm = registration.member().vm();
        return new VmEntry(
                vm,
                new FailureDomain(record.getFailureDomain()),
                record.getHost(),
                record.getPeerPort(),
                record.getStopping() || leaving.contains(vm));
    }

    /**
     * Returns whether a VM is excluded from owning partitions.
     *
     * @param vm the VM
     * @param domain its failure domain
     * @return true if the VM or its failure domain is out of service, or the VM is leaving
     */
    boolean excluded(final VmId vm, final FailureDomain domain) {
        final Catalogue catalogue = ports.catalogue().current();
        return leaving.contains(vm)
                || catalogue.vmsOut().contains(vm)
                || catalogue.domainsOut().contains(domain);
    }

    /**
     * Records the time since which voters appear to be gone, for {@link #gone}.
     *
     * @param voterSets the voter sets of the assignment in force
     */
    void recordGone(final List<Set<Voter>> voterSets) {
        final Membership members = members();
        final long now = ports.timer().nanoTime();
        final Set<Voter> replaced = new HashSet<>();
        voterSets.forEach(set -> set.stream().filter(members::replaced).forEach(replaced::add));
        replacedSince.keySet().retainAll(replaced);
        replaced.forEach(voter -> replacedSince.putIfAbsent(voter, now));
        unlistedSince.keySet().removeAll(members.newest().keySet());
    }

    /**
     * Returns whether a voter has been permanently gone for longer than a promise lasts.
     *
     * @param voter a process of a voter set
     * @return true if another process of its VM holds the newest registration, or the VM is no longer in the VM list
     *     and has no lease
     */
    boolean gone(final Voter voter) {
        return passedSince(replacedSince.get(voter), promiseNanos)
                || passedSince(unlistedSince.get(voter.vm()), promiseNanos + UNLISTED_TIMEOUT.toNanos());
    }

    private boolean passedSince(final Long since, final long nanos) {
        return since != null && ports.timer().nanoTime() - since >= nanos;
    }

    private void onVmList(final List<VmEntry> entries) {
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

    private Set<VmId> excludedVms() {
        final Set<VmId> excluded = new HashSet<>();
        for (final MemberEntry registration : registrations) {
            final VmId vm = registration.member().vm();
            if (excluded(vm, new FailureDomain(registration.record().getFailureDomain()))) {
                excluded.add(vm);
            }
        }
        return excluded;
    }

    private static List<MemberEntry> parse(final KeyValueSnapshot snapshot) throws Exception {
        final List<MemberEntry> parsed = new ArrayList<>();
        for (final KeyValueEntry entry : snapshot.entries()) {
            final MemberRecord record = MemberRecord.parseFrom(entry.value());
            parsed.add(new MemberEntry(AssignmentCodec.decode(record.getMember()), record, entry.revision()));
        }
        return parsed;
    }
}
