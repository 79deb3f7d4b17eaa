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
 * The tree along which VMs add up what they know.
 *
 * <p>All VMs stand in one order: by failure domain, then by hash. In a small fleet each VM attaches to the first one.
 * In a larger one it attaches to the first one of its failure domain, and these attach to the first of all, so that
 * what the fleet knows passes each border between domains once each way. A VM that can't be reached is passed over.
 *
 * <p>Invariant: a VM attaches only to one that comes before it in the order, so that VMs that differ about who can be
 * reached never form a cycle. Immutable and thread-safe.
 */
public final class AggregationTree {
    private static final int MAX_CHILDREN_OF_STAR = 16;
    private static final Comparator<VmEntry> ORDER = Comparator.<VmEntry, FailureDomain>comparing(
                    VmEntry::failureDomain, Comparator.comparing(FailureDomain::value))
            .thenComparingLong(vm -> RendezvousHash.of(vm.id().value()))
            .thenComparing(vm -> vm.id().value());

    private final VmId self;
    private final FailureDomain domain;

    /**
     * Creates the view of one VM.
     *
     * @param self the VM
     * @param domain where it stands
     */
    public AggregationTree(final VmId self, final FailureDomain domain) {
        this.self = Objects.requireNonNull(self);
        this.domain = Objects.requireNonNull(domain);
    }

    /**
     * Chooses the VM to attach to.
     *
     * @param others the other registered VMs
     * @param reachable tells which of them can be reached, as far as this VM knows
     * @return the parent; empty if this VM is the root
     */
    public Optional<VmId> parent(final Collection<VmEntry> others, final Predicate<VmId> reachable) {
        final VmEntry own = new VmEntry(self, domain, "", 0, false);
        final List<VmEntry> before = others.stream()
                .filter(vm -> ORDER.compare(vm, own) < 0 && reachable.test(vm.id()))
                .toList();
        if (others.size() > MAX_CHILDREN_OF_STAR) {
            final Optional<VmEntry> head = before.stream()
                    .filter(vm -> vm.failureDomain().equals(domain))
                    .min(ORDER);
            if (head.isPresent()) {
                return head.map(VmEntry::id);
            }
        }
        return before.stream().min(ORDER).map(VmEntry::id);
    }

    /**
     * Tells whether an edge joins the heads of two failure domains of a larger fleet.
     *
     * @param others the other registered VMs
     * @param parent the parent of this VM
     * @return true if this VM speaks for its failure domain
     */
    public boolean speaksForDomain(final Collection<VmEntry> others, final VmId parent) {
        return others.size() > MAX_CHILDREN_OF_STAR
                && others.stream()
                        .anyMatch(vm ->
                                vm.id().equals(parent) && !vm.failureDomain().equals(domain));
    }
}
