package org.balsambank.core.partition;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.balsambank.core.id.VmId;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the quorum of a takeover against all sets of voters that could keep an earlier version in force. Stateless. */
final class QuorumTest {
    @Property(seed = "11")
    void supersededExactlyIfNoMajorityCanPromise(
            @ForAll @IntRange(min = 1, max = 9) final int voters,
            @ForAll @IntRange(max = 511) final int adoptedBits,
            @ForAll @IntRange(max = 511) final int goneBits) {
        final Set<Voter> set = new TreeSet<>();
        for (int i = 0; i < voters; i++) {
            set.add(voter(i));
        }
        boolean majorityPossible = false;
        for (int promised = 0; promised < 1 << voters; promised++) {
            final boolean possible = (promised & (adoptedBits | goneBits)) == 0;
            majorityPossible |= possible && Integer.bitCount(promised) * 2 > voters;
        }
        assertEquals(!majorityPossible, Quorum.superseded(List.of(set), in(adoptedBits), in(goneBits)));
    }

    private static Predicate<Voter> in(final int bits) {
        return voter -> (bits >> Integer.parseInt(voter.boot()) & 1) == 1;
    }

    private static Voter voter(final int number) {
        return new Voter(new VmId("vm"), Integer.toString(number));
    }
}
