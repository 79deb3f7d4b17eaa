package org.balsambank.core.partition;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.PartitionId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests ownership of partitions over five VMs under one fault at a time. Confined to one thread. */
final class PartitionOwnershipTest {
    private static final int VMS = 5;
    private static final int PARTITIONS = 64;
    private static final long SEED = 41;
    private static final Duration START = Duration.ofSeconds(30);

    private final FleetFixture fleet = new FleetFixture(FleetFixture.settings(PARTITIONS), SEED);

    @BeforeEach
    void start() {
        fleet.startAll(VMS);
        fleet.run(START);
        assertEquals(PARTITIONS, fleet.owned());
    }

    @AfterEach
    void invariantsHold() {
        assertEquals(List.of(), fleet.violations);
        assertEquals(List.of(), fleet.invariants.violations());
    }

    @Test
    void killedOwnerIsReplacedAfterItsLease() {
        fleet.get(0).kill();
        assertTrue(fleet.untilOwned(Duration.ofSeconds(9)).isPresent());
    }

    @Test
    void pausedOwnerDoesNotActAfterItsLease() {
        final FleetFixture.Vm paused = fleet.get(1);
        paused.loop.pause();
        fleet.run(Duration.ofSeconds(12));
        assertEquals(Set.of(), paused.ownership.held());
        assertEquals(PARTITIONS, fleet.owned());
        paused.loop.resume();
        fleet.run(Duration.ofSeconds(30));
        assertEquals(PARTITIONS, fleet.owned());
        assertTrue(paused.ownership.held().size() > 0);
    }

    @Test
    void ownerCutOffTheServiceOnlyIsReplaced() {
        final FleetFixture.Vm cut = fleet.get(2);
        fleet.service.cutOff(cut.id(), true);
        fleet.run(Duration.ofSeconds(15));
        assertEquals(Set.of(), cut.ownership.held());
        assertEquals(PARTITIONS, fleet.owned());
    }

    @Test
    void ownerCutOffItsPeersOnlyKeepsItsPartitions() {
        final FleetFixture.Vm cut = fleet.get(3);
        final Set<PartitionId> before = cut.ownership.held();
        fleet.network.cutOff(cut.id(), true);
        fleet.run(Duration.ofMinutes(1));
        assertEquals(before, cut.ownership.held());
        assertEquals(PARTITIONS, fleet.owned());
    }

    @Test
    void allOwnersGoOnWhileTheServiceIsOutForMinutes() {
        fleet.service.setOutage(true);
        for (int second = 0; second < 300; second++) {
            fleet.run(Duration.ofSeconds(1));
            assertEquals(PARTITIONS, fleet.owned(), "after " + second + " s");
        }
        fleet.service.setOutage(false);
        for (int second = 0; second < 60; second++) {
            fleet.run(Duration.ofSeconds(1));
            assertEquals(PARTITIONS, fleet.owned(), second + " s after the outage");
        }
        assertEquals(0, lost());
    }

    @Test
    void minorityStopsWhileTheServiceIsOut() {
        fleet.service.setOutage(true);
        fleet.run(Duration.ofSeconds(20));
        List.of(0, 1).forEach(a -> List.of(2, 3, 4)
                .forEach(b -> fleet.network.cut(FleetFixture.vm(a), FleetFixture.vm(b), true)));
        fleet.run(Duration.ofSeconds(20));
        assertEquals(Set.of(), fleet.get(0).ownership.held());
        assertEquals(Set.of(), fleet.get(1).ownership.held());
        assertTrue(fleet.get(2).ownership.held().size() > 0);
    }

    @Test
    void killedMajorityIsReplacedOnceItsVmsAreReplaced() {
        List.of(0, 1, 2).forEach(i -> fleet.get(i).kill());
        fleet.run(Duration.ofSeconds(10));
        List.of(0, 1, 2).forEach(fleet::start);
        assertTrue(fleet.untilOwned(Duration.ofSeconds(20)).isPresent());
    }

    @Test
    void killedMajorityIsReplacedOnceTheListHasDroppedIt() {
        List.of(0, 1, 2).forEach(i -> {
            fleet.get(i).kill();
            fleet.vmList.remove(FleetFixture.vm(i));
        });
        assertTrue(fleet.untilOwned(Duration.ofSeconds(60)).isPresent());
    }

    @Test
    void plannedStopLeavesNoGapOfALease() {
        final boolean[] ended = fleet.get(4).stop();
        final Duration step = FleetFixture.STEP;
        Duration gap = Duration.ZERO;
        for (int i = 0; i < 500; i++) {
            fleet.run(step);
            gap = fleet.owned() < PARTITIONS ? gap.plus(step) : gap;
        }
        assertTrue(ended[0]);
        assertEquals(PARTITIONS, fleet.owned());
        assertTrue(gap.compareTo(Duration.ofMillis(100)) <= 0, "gap " + gap);
    }

    @Test
    void failureDomainOutGetsNoPartitionsWithinSeconds() {
        fleet.out(Set.of(new FailureDomain("domain-0")), Set.of());
        fleet.run(Duration.ofSeconds(2));
        assertEquals(Set.of(), fleet.get(0).ownership.held());
        assertEquals(Set.of(), fleet.get(4).ownership.held());
        assertEquals(PARTITIONS, fleet.owned());
        fleet.out(Set.of(), Set.of());
        fleet.run(Duration.ofSeconds(40));
        assertTrue(fleet.get(0).ownership.held().size() > 0);
    }

    @Test
    void vmThatLeavesPerTheListHandsOver() {
        fleet.vmList.leaving(FleetFixture.vm(3));
        fleet.run(Duration.ofSeconds(8));
        assertEquals(Set.of(), fleet.get(3).ownership.held());
        assertEquals(PARTITIONS, fleet.owned());
    }

    @Test
    void lostAnswersOfWritesAreClearedUp() {
        fleet.service.answerLossRate(0.3);
        fleet.get(0).kill();
        fleet.run(Duration.ofSeconds(30));
        final boolean[] ended = fleet.get(1).stop();
        fleet.run(Duration.ofSeconds(30));
        fleet.service.answerLossRate(0);
        assertTrue(ended[0]);
        assertTrue(fleet.untilOwned(Duration.ofSeconds(20)).isPresent());
    }

    private long lost() {
        return fleet.vms.values().stream()
                .flatMap(vm -> vm.changes.stream())
                .filter(change -> change.kind() == OwnershipChange.Kind.LOST)
                .count();
    }
}
