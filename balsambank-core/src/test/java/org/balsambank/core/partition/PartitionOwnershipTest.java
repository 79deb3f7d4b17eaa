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

/** Tests partition ownership with five VMs and one fault at a time. Confined to one thread. */
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
        assertEquals(PARTITIONS, fleet.heldCount());
    }

    @AfterEach
    void invariantsHold() {
        assertEquals(List.of(), fleet.violations);
        assertEquals(List.of(), fleet.invariants.violations());
    }

    @Test
    void partitionsOfAKilledOwnerAreTakenOverAfterItsLease() {
        fleet.get(0).kill();
        assertTrue(fleet.runUntilOwned(Duration.ofSeconds(9)).isPresent());
    }

    @Test
    void pausedOwnerDoesNotActAfterItsLease() {
        final FleetFixture.Vm paused = fleet.get(1);
        paused.loop.pause();
        fleet.run(Duration.ofSeconds(12));
        assertEquals(Set.of(), paused.ownership.held());
        assertEquals(PARTITIONS, fleet.heldCount());
        paused.loop.resume();
        fleet.run(Duration.ofSeconds(30));
        assertEquals(PARTITIONS, fleet.heldCount());
        assertTrue(paused.ownership.held().size() > 0);
    }

    @Test
    void partitionsOfAnOwnerDisconnectedFromTheServiceAreTakenOver() {
        final FleetFixture.Vm disconnected = fleet.get(2);
        fleet.service.cutOff(disconnected.id(), true);
        fleet.run(Duration.ofSeconds(15));
        assertEquals(Set.of(), disconnected.ownership.held());
        assertEquals(PARTITIONS, fleet.heldCount());
    }

    @Test
    void ownerDisconnectedFromItsPeersKeepsItsPartitions() {
        final FleetFixture.Vm disconnected = fleet.get(3);
        final Set<PartitionId> before = disconnected.ownership.held();
        fleet.network.cutOff(disconnected.id(), true);
        fleet.run(Duration.ofMinutes(1));
        assertEquals(before, disconnected.ownership.held());
        assertEquals(PARTITIONS, fleet.heldCount());
    }

    @Test
    void allOwnersKeepActingDuringAServiceOutageOfMinutes() {
        fleet.service.setOutage(true);
        for (int second = 0; second < 300; second++) {
            fleet.run(Duration.ofSeconds(1));
            assertEquals(PARTITIONS, fleet.heldCount(), "after " + second + " s");
        }
        fleet.service.setOutage(false);
        for (int second = 0; second < 60; second++) {
            fleet.run(Duration.ofSeconds(1));
            assertEquals(PARTITIONS, fleet.heldCount(), second + " s after the outage");
        }
        assertEquals(0, lossCount());
    }

    @Test
    void minorityStopsActingDuringAServiceOutage() {
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
    void partitionsOfAKilledMajorityAreTakenOverAfterItsVmsRestart() {
        List.of(0, 1, 2).forEach(i -> fleet.get(i).kill());
        fleet.run(Duration.ofSeconds(10));
        List.of(0, 1, 2).forEach(fleet::start);
        assertTrue(fleet.runUntilOwned(Duration.ofSeconds(20)).isPresent());
    }

    @Test
    void partitionsOfAKilledMajorityAreTakenOverAfterItsVmsLeaveTheVmList() {
        List.of(0, 1, 2).forEach(i -> {
            fleet.get(i).kill();
            fleet.vmList.remove(FleetFixture.vm(i));
        });
        assertTrue(fleet.runUntilOwned(Duration.ofSeconds(60)).isPresent());
    }

    @Test
    void plannedStopHandsOverWithin100Millis() {
        final boolean[] ended = fleet.get(4).stop();
        final Duration step = FleetFixture.STEP;
        Duration gap = Duration.ZERO;
        for (int i = 0; i < 500; i++) {
            fleet.run(step);
            gap = fleet.heldCount() < PARTITIONS ? gap.plus(step) : gap;
        }
        assertTrue(ended[0]);
        assertEquals(PARTITIONS, fleet.heldCount());
        assertTrue(gap.compareTo(Duration.ofMillis(100)) <= 0, "gap " + gap);
    }

    @Test
    void failureDomainOutOfServiceHandsOverWithinTwoSeconds() {
        fleet.setOutOfService(Set.of(new FailureDomain("domain-0")), Set.of());
        fleet.run(Duration.ofSeconds(2));
        assertEquals(Set.of(), fleet.get(0).ownership.held());
        assertEquals(Set.of(), fleet.get(4).ownership.held());
        assertEquals(PARTITIONS, fleet.heldCount());
        fleet.setOutOfService(Set.of(), Set.of());
        fleet.run(Duration.ofSeconds(40));
        assertTrue(fleet.get(0).ownership.held().size() > 0);
    }

    @Test
    void vmMarkedAsLeavingInTheVmListHandsOver() {
        fleet.vmList.markLeaving(FleetFixture.vm(3));
        fleet.run(Duration.ofSeconds(8));
        assertEquals(Set.of(), fleet.get(3).ownership.held());
        assertEquals(PARTITIONS, fleet.heldCount());
    }

    @Test
    void writesWithLostResponsesAreResolved() {
        fleet.service.answerLossRate(0.3);
        fleet.get(0).kill();
        fleet.run(Duration.ofSeconds(30));
        final boolean[] ended = fleet.get(1).stop();
        fleet.run(Duration.ofSeconds(30));
        fleet.service.answerLossRate(0);
        assertTrue(ended[0]);
        assertTrue(fleet.runUntilOwned(Duration.ofSeconds(20)).isPresent());
    }

    private long lossCount() {
        return fleet.vms.values().stream()
                .flatMap(vm -> vm.changes.stream())
                .filter(change -> change.kind() == OwnershipChange.Kind.LOST)
                .count();
    }
}
