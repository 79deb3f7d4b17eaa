package org.balsambank.core.catalogue.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.VmEntry;

/**
 * Selects the VMs that read the catalogue from the key-value service.
 *
 * <p>Stateless and thread-safe. The selection is deterministic: VMs with the same list select the same watchers, and a
 * change of the list changes few of them.
 */
final class WatcherSelector {
    private static final int MIN_PER_DOMAIN = 2;
    private static final int VMS_PER_WATCHER = 16;

    private WatcherSelector() {}

    /**
     * Selects the watchers.
     *
     * @param vms all VMs
     * @return the watchers, grouped by failure domain
     */
    static List<VmId> watchers(final List<VmEntry> vms) {
        final Map<FailureDomain, List<VmId>> byDomain = new TreeMap<>(Comparator.comparing(FailureDomain::value));
        for (final VmEntry vm : vms) {
            byDomain.computeIfAbsent(vm.failureDomain(), domain -> new ArrayList<>())
                    .add(vm.id());
        }
        final List<VmId> watchers = new ArrayList<>();
        for (final List<VmId> domain : byDomain.values()) {
            domain.sort(Comparator.comparingLong(WatcherSelector::rank).thenComparing(VmId::value));
            final int count = Math.max(MIN_PER_DOMAIN, domain.size() / VMS_PER_WATCHER);
            watchers.addAll(domain.subList(0, Math.min(count, domain.size())));
        }
        return watchers;
    }

    private static long rank(final VmId vm) {
        return LongHashFunction.xx3().hashChars(vm.value());
    }
}
