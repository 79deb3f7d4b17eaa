package org.balsambank.core.serving.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.VmEntry;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the shape of the tree. Confined to one thread. */
final class AggregationTreeTest {
    private static final int SEEDS = 300;

    @Test
    void vmsThatDisagreeAboutReachabilityNeverFormACycle() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final Random random = new Random(seed);
            final List<VmEntry> fleet = fleet(2 + random.nextInt(60), 1 + random.nextInt(6));
            final Map<VmId, VmId> parents = new HashMap<>();
            for (final VmEntry vm : fleet) {
                final List<VmEntry> known = new ArrayList<>(fleet);
                known.remove(vm);
                known.removeIf(each -> random.nextInt(5) == 0);
                final Set<VmId> unreachable = new HashSet<>();
                known.stream().filter(each -> random.nextInt(4) == 0).forEach(each -> unreachable.add(each.id()));
                new AggregationTree(vm.id(), vm.failureDomain())
                        .parent(known, each -> !unreachable.contains(each))
                        .ifPresent(parent -> parents.put(vm.id(), parent));
            }
            for (final VmEntry vm : fleet) {
                assertTrue(depth(parents, vm.id()) < fleet.size(), "seed " + seed);
            }
        }
    }

    @Test
    void vmsThatAgreeAreAtMostTwoEdgesFromOneRoot() {
        for (final int size : new int[] {1, 7, 17, 95, 370}) {
            final List<VmEntry> fleet = fleet(size, 6);
            final Map<VmId, VmId> parents = parents(fleet);
            assertEquals(size - 1, parents.size());
            fleet.forEach(vm -> assertTrue(depth(parents, vm.id()) <= 2));
        }
    }

    @Test
    void eachDomainOfALargeFleetHasOneEdgeToAnotherDomain() {
        final List<VmEntry> fleet = fleet(95, 6);
        final Map<VmId, VmId> parents = parents(fleet);
        final Map<VmId, FailureDomain> domains = new HashMap<>();
        fleet.forEach(vm -> domains.put(vm.id(), vm.failureDomain()));
        final long crossing = parents.entrySet().stream()
                .filter(edge -> !domains.get(edge.getKey()).equals(domains.get(edge.getValue())))
                .count();
        assertEquals(5, crossing);
    }

    private static Map<VmId, VmId> parents(final List<VmEntry> fleet) {
        final Map<VmId, VmId> parents = new HashMap<>();
        for (final VmEntry vm : fleet) {
            final List<VmEntry> others = new ArrayList<>(fleet);
            others.remove(vm);
            final Optional<VmId> parent = new AggregationTree(vm.id(), vm.failureDomain()).parent(others, each -> true);
            parent.ifPresent(id -> parents.put(vm.id(), id));
        }
        return parents;
    }

    private static int depth(final Map<VmId, VmId> parents, final VmId vm) {
        int depth = 0;
        for (VmId at = parents.get(vm); at != null && depth <= parents.size(); at = parents.get(at)) {
            depth++;
        }
        return depth;
    }

    private static List<VmEntry> fleet(final int size, final int domains) {
        final List<VmEntry> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            fleet.add(new VmEntry(new VmId("vm" + i), new FailureDomain("d" + i % domains), "127.0.0.1", 1, false));
        }
        return fleet;
    }
}
