package org.balsambank.core.partition;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.balsambank.core.id.VmId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the preferred owners of partitions. Stateless. */
final class PartitionPlacementTest {
    private static final int PARTITIONS = 256;

    @Property(seed = "5", tries = 100)
    void loadIsBoundedAndTheOrderOfVmsDoesNotMatter(@ForAll @IntRange(min = 1, max = 60) final int count) {
        final List<VmId> vms = vms(count);
        final List<VmId> owners = PartitionPlacement.owners(PARTITIONS, vms);
        final Map<VmId, Integer> loads = new HashMap<>();
        owners.forEach(owner -> loads.merge(owner, 1, Integer::sum));
        final int bound = (int) Math.ceil(PartitionPlacement.MAX_LOAD_FACTOR * PARTITIONS / count);
        assertTrue(loads.values().stream().allMatch(load -> load <= bound), loads.toString());
        final List<VmId> shuffled = new ArrayList<>(vms);
        Collections.shuffle(shuffled, new Random(count));
        assertEquals(owners, PartitionPlacement.owners(PARTITIONS, shuffled));
    }

    @Test
    void removalOfAVmMovesFewPartitionsOfTheOthers() {
        final List<VmId> vms = vms(7);
        final List<VmId> before = PartitionPlacement.owners(PARTITIONS, vms);
        final List<VmId> after = PartitionPlacement.owners(PARTITIONS, vms.subList(0, 6));
        final VmId removed = vms.get(6);
        final long moved = IntStream.range(0, PARTITIONS)
                .filter(i -> !before.get(i).equals(removed) && !before.get(i).equals(after.get(i)))
                .count();
        assertTrue(moved <= PARTITIONS / 10, moved + " moved");
    }

    private static List<VmId> vms(final int count) {
        return IntStream.range(0, count).mapToObj(i -> new VmId("vm-" + i)).toList();
    }
}
