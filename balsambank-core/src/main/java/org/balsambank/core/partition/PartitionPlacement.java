package org.balsambank.core.partition;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

import net.openhft.hashing.LongHashFunction;
import org.balsambank.core.id.VmId;

/**
 * Computes the preferred owner of each partition by rendezvous hashing with bounded loads.
 *
 * <p>Stateless and thread-safe. Invariants: the result does not depend on the order of the VMs; no VM gets more than
 * {@link #MAX_LOAD_FACTOR} times the mean, rounded up; adding or removing a VM moves few partitions between the others.
 */
final class PartitionPlacement {
    /** The maximum load of a VM in multiples of the mean. */
    static final double MAX_LOAD_FACTOR = 1.25;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private PartitionPlacement() {}

    /**
     * Computes the preferred owners.
     *
     * @param partitions the number of partitions
     * @param vms the VMs that may own partitions, not empty
     * @return the owners, indexed by the number of the partition
     */
    static List<VmId> owners(final int partitions, final Collection<VmId> vms) {
        final List<VmId> candidates = new ArrayList<>(new TreeSet<>(vms));
        final long[] hashes =
                candidates.stream().mapToLong(vm -> HASH.hashChars(vm.value())).toArray();
        final int[] loads = new int[hashes.length];
        final int maxLoad = (int) Math.ceil(MAX_LOAD_FACTOR * partitions / hashes.length);
        final List<VmId> owners = new ArrayList<>(partitions);
        for (int partition = 0; partition < partitions; partition++) {
            final int best = best(partition, hashes, loads, maxLoad);
            loads[best]++;
            owners.add(candidates.get(best));
        }
        return owners;
    }

    private static int best(final int partition, final long[] hashes, final int[] loads, final int maxLoad) {
        final long partitionHash = HASH.hashInt(partition);
        int best = -1;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < hashes.length; i++) {
            final long score = HASH.hashLong(partitionHash ^ hashes[i]);
            if (loads[i] < maxLoad && (best < 0 || score > bestScore)) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }
}
