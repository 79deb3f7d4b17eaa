package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.partition.MemberLease;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.serving.admission.FleetView;
import org.balsambank.core.target.RendezvousHash;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * The registered VMs, and the number of VMs from which reports arrive.
 *
 * <p>In a new era of the key-value service, the registrations of the earlier era count until the VMs have had time to
 * register again, so that they stay connected and tell each other of the era. Confined to the decision loop.
 */
public final class FleetMembers implements FleetView {
    private static final long GONE_GRACE_NANOS = Duration.ofSeconds(10).toNanos();
    /** Covers the time until all VMs know of the era, the spread of the registrations, and their way to this VM. */
    private static final Duration NEW_ERA_GRACE = Duration.ofMillis(3_500);

    private final VmId self;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<String, VmEntry> byKey = new TreeMap<>();
    private final Map<VmId, Long> goneNanos = new HashMap<>();
    private List<VmEntry> others = List.of();
    private Consumer<Collection<VmEntry>> listener = members -> {};
    private int reachable = 1;
    private int readers;
    private long era;
    private boolean inNewEraGrace;

    /**
     * Creates an instance that knows only this VM.
     *
     * @param self this VM
     * @param timer the timer service
     * @param log the decision log; gets a line for each change of a registration
     */
    public FleetMembers(final VmId self, final TimerService timer, final DecisionLog log) {
        this.self = Objects.requireNonNull(self);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Returns whether a key is the key of a registration.
     *
     * @param key the key
     * @return true if it has the prefix of registrations
     */
    public static boolean isMember(final String key) {
        return key.startsWith(MemberLease.PREFIX);
    }

    /**
     * Records a changed registration and notifies the listener.
     *
     * @param change the change of the key of a registration
     */
    public void changed(final KeyValueChange change) {
        final boolean ofEarlierEra = MemberLease.era(change.key()) < era;
        if (ofEarlierEra && change.value().isEmpty() == inNewEraGrace) {
            return;
        }
        apply(change);
        updateOthers();
    }

    /**
     * Keeps the registrations of earlier eras for a while, and removes those that are left then.
     *
     * @param newEra the era that the key-value service has entered
     */
    public void beginEra(final long newEra) {
        era = newEra;
        inNewEraGrace = true;
        timer.after(NEW_ERA_GRACE).subscribe(() -> endGrace(newEra));
    }

    private void endGrace(final long ofEra) {
        if (era != ofEra) {
            return;
        }
        inNewEraGrace = false;
        final Map<String, VmEntry> ofEarlierEras = new TreeMap<>(byKey);
        ofEarlierEras.keySet().removeIf(key -> MemberLease.era(key) >= era);
        byKey.keySet().removeAll(ofEarlierEras.keySet());
        final Set<VmId> registered = byKey.values().stream().map(VmEntry::id).collect(Collectors.toSet());
        ofEarlierEras.values().stream()
                .map(VmEntry::id)
                .filter(vm -> !registered.contains(vm))
                .forEach(this::recordGone);
        updateOthers();
    }

    private void updateOthers() {
        final Map<VmId, VmEntry> byId = new TreeMap<>();
        byKey.values().forEach(each -> byId.put(each.id(), each));
        byId.remove(self);
        others = List.copyOf(byId.values());
        listener.accept(others);
    }

    /**
     * Sets the listener for changes; replaces the previous one.
     *
     * @param newListener receives the other registered VMs
     */
    public void setListener(final Consumer<Collection<VmEntry>> newListener) {
        listener = Objects.requireNonNull(newListener);
    }

    private void apply(final KeyValueChange change) {
        final VmEntry previous = byKey.remove(change.key());
        if (change.value().isEmpty()) {
            if (previous != null) {
                recordGone(previous.id());
            }
            return;
        }
        try {
            final MemberRecord member = MemberRecord.parseFrom(change.value().get());
            final VmId vm = new VmId(member.getMember().getVm());
            final VmEntry entry = new VmEntry(
                    vm,
                    new FailureDomain(member.getFailureDomain()),
                    member.getHost(),
                    member.getPeerPort(),
                    member.getStopping());
            byKey.put(change.key(), entry);
            goneNanos.remove(vm);
            log.line("vm_registered").with("vm", vm.value()).write();
        } catch (final InvalidProtocolBufferException | IllegalArgumentException e) {
            log.line("vm_unreadable").with("key", change.key()).write();
        }
    }

    private void recordGone(final VmId vm) {
        goneNanos.put(vm, timer.nanoTime());
        log.line("vm_gone").with("vm", vm.value()).write();
    }

    /**
     * Sets the number of VMs from which reports arrive, directly or through other VMs.
     *
     * @param vmCount the number of VMs, including this one
     * @param readerCount how many of the others can read the key-value service
     */
    public void setReachable(final int vmCount, final int readerCount) {
        reachable = vmCount;
        readers = readerCount;
    }

    /**
     * Returns whether no other VM can have written to the key-value service recently.
     *
     * @return true if reports arrive from all others and none of them can read the service
     */
    public boolean othersWithoutStore() {
        return reachable > others().size() && readers == 0;
    }

    /**
     * Returns this VM.
     *
     * @return its id
     */
    public VmId self() {
        return self;
    }

    /**
     * Returns the other registered VMs.
     *
     * @return one entry per VM
     */
    public Collection<VmEntry> others() {
        return others;
    }

    /**
     * Returns all registered VMs, including this one.
     *
     * @return their ids
     */
    public List<VmId> all() {
        final List<VmId> all = new ArrayList<>();
        others().forEach(each -> all.add(each.id()));
        all.add(self);
        return all;
    }

    /**
     * Returns the number of VMs that share the limits of the fleet. A VM whose registration has ended may be
     * partitioned and still serve requests, so it is counted for a while longer, and as long as reports from it arrive.
     */
    @Override
    public int vms() {
        final long now = timer.nanoTime();
        goneNanos.values().removeIf(since -> now - since > GONE_GRACE_NANOS);
        final Set<VmId> sharing = new HashSet<>(goneNanos.keySet());
        byKey.values().forEach(each -> sharing.add(each.id()));
        sharing.add(self);
        return Math.max(reachable, sharing.size());
    }

    @Override
    public int reachableVms() {
        return reachable;
    }

    @Override
    public int rank(final TargetId target) {
        return rank(target.value());
    }

    /**
     * Returns whether this VM is the one of the fleet that decides about a subject. While registrations change, several
     * VMs or none may be.
     *
     * @param subject the subject
     * @return true if no other registered VM comes first
     */
    public boolean isFirstFor(final String subject) {
        return rank(subject) == 0;
    }

    /**
     * Returns the VM of the fleet that decides about a subject.
     *
     * @param subject the subject
     * @return the VM for which {@link #isFirstFor(String)} is true if the VMs know the same registrations
     */
    public VmId firstFor(final String subject) {
        final long hash = RendezvousHash.of(subject);
        return all().stream()
                .max(Comparator.comparingLong(vm -> RendezvousHash.score(hash, RendezvousHash.of(vm.value()))))
                .orElse(self);
    }

    /**
     * Returns how many of the registered VMs come before this one for a subject.
     *
     * @param subject the subject
     * @return 0 on the VM that decides about it
     */
    public int rank(final String subject) {
        return RendezvousHash.rank(
                subject, self.value(), others().stream().map(each -> each.id().value()));
    }
}
