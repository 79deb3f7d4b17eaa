package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

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
 * The VMs that are registered, and how many of them are heard of.
 *
 * <p>Confined to the decision loop.
 */
public final class FleetMembers implements FleetView {
    private static final long GONE_COUNTS_NANOS = Duration.ofSeconds(10).toNanos();

    private final VmId self;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<String, VmEntry> byKey = new TreeMap<>();
    private final Map<VmId, Long> goneNanos = new HashMap<>();
    private List<VmEntry> others = List.of();
    private Consumer<Collection<VmEntry>> listener = members -> {};
    private int heard = 1;
    private int readers;

    /**
     * Creates a list of this VM alone.
     *
     * @param self this VM
     * @param timer gives the time
     * @param log takes a line for each change
     */
    public FleetMembers(final VmId self, final TimerService timer, final DecisionLog log) {
        this.self = Objects.requireNonNull(self);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Tells whether a key is that of a member.
     *
     * @param key the key
     * @return true if so
     */
    public static boolean isMember(final String key) {
        return key.startsWith(MemberLease.PREFIX);
    }

    /**
     * A registration has changed.
     *
     * @param change the change of a key of a member
     */
    public void changed(final KeyValueChange change) {
        take(change);
        final Map<VmId, VmEntry> byId = new TreeMap<>();
        byKey.values().forEach(each -> byId.put(each.id(), each));
        byId.remove(self);
        others = List.copyOf(byId.values());
        listener.accept(others);
    }

    /**
     * Sets who hears of each change.
     *
     * @param newListener takes the other VMs
     */
    public void setListener(final Consumer<Collection<VmEntry>> newListener) {
        listener = Objects.requireNonNull(newListener);
    }

    private void take(final KeyValueChange change) {
        final VmEntry before = byKey.remove(change.key());
        if (change.value().isEmpty()) {
            if (before != null) {
                goneNanos.put(before.id(), timer.nanoTime());
                log.line("vm_gone").with("vm", before.id().value()).write();
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

    /**
     * The VMs that were heard of, directly or through others, have been counted.
     *
     * @param count the VMs, this one included
     * @param canRead those of the others that can read the key-value service
     */
    public void heard(final int count, final int canRead) {
        heard = count;
        readers = canRead;
    }

    /**
     * Tells whether no other VM can have written to the key-value service a moment ago.
     *
     * @return true if all others were heard of and none of them can read the service
     */
    public boolean othersWithoutStore() {
        return heard > others().size() && readers == 0;
    }

    /**
     * Returns the other VMs.
     *
     * @return one entry for each
     */
    public Collection<VmEntry> others() {
        return others;
    }

    /**
     * Returns all registered VMs, this one included.
     *
     * @return the VMs
     */
    public List<VmId> all() {
        final List<VmId> all = new ArrayList<>();
        others().forEach(each -> all.add(each.id()));
        all.add(self);
        return all;
    }

    /**
     * Returns how many VMs share what the fleet has. A VM whose registration has ended may be cut off and serve on, so
     * that its part is left to it for a while, and as long as it is heard of.
     */
    @Override
    public int vms() {
        final long now = timer.nanoTime();
        goneNanos.values().removeIf(since -> now - since > GONE_COUNTS_NANOS);
        final Set<VmId> sharing = new HashSet<>(goneNanos.keySet());
        byKey.values().forEach(each -> sharing.add(each.id()));
        sharing.add(self);
        return Math.max(heard, sharing.size());
    }

    @Override
    public int reachableVms() {
        return heard;
    }

    @Override
    public int rank(final TargetId target) {
        return RendezvousHash.rank(
                target.value(), self.value(), others().stream().map(each -> each.id()
                        .value()));
    }
}
