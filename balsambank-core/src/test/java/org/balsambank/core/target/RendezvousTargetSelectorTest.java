package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests target selection against a direct computation of rendezvous scores, and the spread over failure domains. */
class RendezvousTargetSelectorTest {
    private static final int TARGETS = 13;
    private static final FailureDomain OUT_OF_SERVICE = new FailureDomain("domain-1");

    private final TargetFixture fixture = new TargetFixture(TARGETS, false);
    private final RendezvousTargetSelector selector = selector();

    @Test
    void firstHomeHasTheHighestScore() {
        for (int i = 0; i < TargetFixture.ADAPTERS; i++) {
            final AdapterRef adapter = TargetFixture.adapter(i);
            final Target highestScored = fixture.current().targets().values().stream()
                    .max(Comparator.comparingLong(target -> RendezvousHash.score(
                            RendezvousHash.of(adapter.toString()),
                            RendezvousHash.of(target.id().value()))))
                    .orElseThrow();
            assertEquals(highestScored, homes(i).get(0));
            assertEquals(homes(i), selector().forAdapter(fixture.current(), adapter, 0));
        }
    }

    @Test
    void secondHomeIsInAnotherFailureDomain() {
        for (int i = 0; i < TargetFixture.ADAPTERS; i++) {
            assertNotEquals(homes(i).get(0).failureDomain(), homes(i).get(1).failureDomain());
            assertEquals(4, new HashSet<>(homes(i)).size());
        }
    }

    @Test
    void domainOutOfServiceMovesOnlyItsOwnAdapters() {
        final Map<Integer, Target> before = new HashMap<>();
        for (int i = 0; i < TargetFixture.ADAPTERS; i++) {
            before.put(i, homes(i).get(0));
        }
        fixture.domainOut(Set.of(OUT_OF_SERVICE));
        before.forEach((adapter, home) -> {
            assertTrue(homes(adapter).stream()
                    .noneMatch(target -> target.failureDomain().equals(OUT_OF_SERVICE)));
            assertTrue(home.failureDomain().equals(OUT_OF_SERVICE)
                    || home.equals(homes(adapter).get(0)));
        });
    }

    @Test
    void fullHomeComesLast() {
        final Target home = homes(1).get(0);
        selector.observe(home, Optional.empty(), Optional.of(3.0));
        assertEquals(home, homes(1).get(3));
        fixture.advance(Duration.ofSeconds(4));
        assertEquals(home, homes(1).get(0));
    }

    @Test
    void popularAdapterIsSpreadByPrefixWhileItsHomeIsBusy() {
        for (int i = 0; i < 100; i++) {
            homes(1);
            homes(2 + i % 30);
        }
        assertEquals(1, firstHomes(1).size());
        selector.observe(homes(1).get(0), Optional.empty(), Optional.of(1.0));
        assertEquals(4, firstHomes(1).size());
        assertEquals(1, firstHomes(39).size());
        final AdapterRef popular = TargetFixture.adapter(1);
        assertEquals(
                selector.forAdapter(fixture.current(), popular, 77).get(0),
                selector.forAdapter(fixture.current(), popular, 77).get(0));
    }

    @Test
    void unknownAdapterHasNoTarget() {
        assertEquals(List.of(), homes(TargetFixture.ADAPTERS));
    }

    private Set<TargetId> firstHomes(final int adapter) {
        final Set<TargetId> first = new HashSet<>();
        for (final long prefix : new Random(1).longs(50).toArray()) {
            first.add(selector.forAdapter(fixture.current(), TargetFixture.adapter(adapter), prefix)
                    .get(0)
                    .id());
        }
        return first;
    }

    private List<Target> homes(final int adapter) {
        return new ArrayList<>(selector.forAdapter(fixture.current(), TargetFixture.adapter(adapter), 0));
    }

    private RendezvousTargetSelector selector() {
        return new RendezvousTargetSelector(fixture.timers, new FailureDomain("domain-0"), new Random(1));
    }
}
