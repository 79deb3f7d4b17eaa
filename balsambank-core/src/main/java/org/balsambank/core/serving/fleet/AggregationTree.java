package org.balsambank.core.serving.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.target.RendezvousHash;

/**
 * The tree along which VMs aggregate their state.
 *
 * <p>All VMs are ordered by failure domain, then by hash. In a small fleet, each VM attaches to the first one. In a
 * larger fleet, it attaches to the first one of its failure domain, and these attach to the first of all, so that the
 * state crosses each domain boundary only once per direction. Unreachable VMs are skipped.
 *
 * <p>Invariant: a VM attaches only to one that precedes it in the order, so that VMs that disagree about which VMs are
 * reachable never form a cycle. Immutable and thread-safe.
 */
public final class AggregationTree {
    private static final int MAX_STAR_CHILDREN = 16;
    private static final Comparator<VmEntry> ORDER = Comparator.<VmEntry, FailureDomain>comparing(
                    VmEntry::failureDomain, Comparator.comparing(FailureDomain::value))
            .thenComparingLong(vm -> RendezvousHash.of(vm.id().value()))
            .thenComparing(vm -> vm.id().value());

    private final VmId self;
    private final FailureDomain domain;

    /**
     * Creates the tree as seen by one VM.
     *
     * @param self the VM
     * @param domain the failure domain of the VM
     */
    public AggregationTree(final VmId self, final FailureDomain domain) {
        this.self = Objects.requireNonNull(self);
        this.domain = Objects.requireNonNull(domain);
    }

    /**
     * Returns the VM to attach to.
     *
     * @param others the other registered VMs
     * @param reachable whether a VM is reachable, as far as this VM knows
     * @return the parent; empty if this VM is the root
     */
    public Optional<VmId> parent(final Collection<VmEntry> others, final Predicate<VmId> reachable) {
        final VmEntry own = new VmEntry(self, domain, "", 0, false);
        final List<VmEntry> preceding = others.stream()
                .filter(vm -> ORDER.compare(vm, own) < 0 && reachable.test(vm.id()))
                .toList();
        if (others.size() > MAX_STAR_CHILDREN) {
            final Optional<VmEntry> head = preceding.stream()
                    .filter(vm -> vm.failureDomain().equals(domain))
                    .min(ORDER);
            if (head.isPresent()) {
                return head.map(VmEntry::id);
            }
        }
        return preceding.stream().min(ORDER).map(VmEntry::id);
    }

    /**
     * Returns whether the edge to the parent connects two failure domains of a larger fleet.
     *
     * @param others the other registered VMs
     * @param parent the parent of this VM
     * @return true if this VM is the head of its failure domain
     */
    public boolean isDomainHead(final Collection<VmEntry> others, final VmId parent) {
        return others.size() > MAX_STAR_CHILDREN
                && others.stream()
                        .anyMatch(vm ->
                                vm.id().equals(parent) && !vm.failureDomain().equals(domain));
    }
}
