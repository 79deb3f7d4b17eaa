package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests several VMs together with killed VMs, partitions, outages and suspensions, in virtual time. Confined to one
 * thread.
 */
final class ServingFleetTest {
    private static final String STREAM = "/stream/";
    private static final int VMS = 4;
    private static final int TARGETS = 5;

    private static final String PLAIN = "/unsafe/";
    private static final int PLAIN_UNITS = 600;
    private static final int PLAIN_TARGETS = 3;

    private final TestFleet fleet = new TestFleet(VMS, TARGETS);

    ServingFleetTest() {
        for (int i = 0; i < PLAIN_TARGETS; i++) {
            fleet.announce(fleet.plainTarget(i, false));
        }
        fleet.advance(1_000);
    }

    @Test
    void anyVmCanHaveAnAdapterLoadedByTheControllingVm() {
        for (int i = 0; i < 12; i++) {
            streamRequest(i % VMS, i);
        }
        fleet.advance(1_500);
        assertEquals(12, fleet.attempts.size());
    }

    @Test
    void allVmsLoadAnAdapterAtTheSameTarget() {
        final Map<AdapterKey, Set<TargetId>> used = new HashMap<>();
        for (int round = 0; round < 8; round++) {
            for (int i = 0; i < 10; i++) {
                streamRequest(round % VMS, i);
                fleet.advance(400);
                used.computeIfAbsent(TestFleet.adapter(i), key -> new HashSet<>())
                        .add(fleet.lastAttempt().target());
                fleet.lastAttempt().respond(200, false);
            }
        }
        used.values().forEach(targets -> assertEquals(1, targets.size()));
    }

    @Test
    void loadsContinueSecondsAfterTheControllingVmWasKilled() {
        for (int killed = 0; killed < VMS - 1; killed++) {
            fleet.kill(TestFleet.vm(killed));
            fleet.advance(8_000);
            final int before = fleet.attempts.size();
            for (int i = 0; i < 10; i++) {
                streamRequest(VMS - 1, 100 * killed + i);
            }
            fleet.advance(2_000);
            assertEquals(10, fleet.attempts.size() - before, "after " + (killed + 1) + " kills");
        }
        fleet.targets.values().forEach(target -> assertEquals(0, target.overflows()));
    }

    @Test
    void plannedShutdownHandsOverControlImmediately() {
        fleet.vms.get(TestFleet.vm(0)).core.handOver().subscribe();
        fleet.advance(4_500);
        final int before = fleet.attempts.size();
        for (int i = 0; i < 10; i++) {
            streamRequest(1, i);
        }
        fleet.advance(1_500);
        assertEquals(10, fleet.attempts.size() - before);
    }

    @Test
    void requestsForResidentAdaptersAreServedDuringAStoreOutage() {
        for (int i = 0; i < 5; i++) {
            streamRequest(0, i);
        }
        fleet.advance(1_500);
        fleet.store.setOutage(true);
        fleet.advance(10_000);
        final int before = fleet.attempts.size();
        for (int i = 0; i < 5; i++) {
            streamRequest(2, i);
        }
        fleet.advance(1_000);
        assertEquals(5, fleet.attempts.size() - before);
        fleet.store.setOutage(false);
        fleet.advance(9_000);
        streamRequest(3, 50);
        fleet.advance(1_500);
        assertEquals(6, fleet.attempts.size() - before);
    }

    @Test
    void loadsContinueWhileNoVmCanReadTheStoreButNotWhileSomeCan() {
        fleet.store.setOutage(true);
        fleet.advance(12_000);
        for (int i = 0; i < 10; i++) {
            streamRequest(i % VMS, i);
        }
        fleet.advance(1_500);
        assertEquals(10, fleet.attempts.size());
        fleet.store.setOutage(false);
        fleet.advance(9_000);
        for (int vm = 1; vm < VMS; vm++) {
            fleet.store.cutOff(TestFleet.vm(vm), true);
        }
        fleet.advance(12_000);
        fleet.targets.values().forEach(target -> assertEquals(0, target.overflows()));
        assertTrue(fleet.vms.keySet().stream()
                .filter(vm -> !vm.equals(TestFleet.vm(0)))
                .noneMatch(this::controlsTargets));
    }

    private boolean controlsTargets(final VmId vm) {
        return fleet.vms.get(vm).core.controlsTargets();
    }

    @Test
    void vmWithoutStoreAccessLearnsOfAWithdrawnKeyFromOthers() {
        fleet.store.cutOff(TestFleet.vm(0), true);
        fleet.advance(2_000);
        fleet.writePlan(2, List.of("another-key"), 1_000_000);
        fleet.advance(6_000);
        final FakeCaller caller = fleet.sendRequest(TestFleet.vm(0), "/unsafe/", Optional.empty(), 10);
        assertEquals(ErrorKind.UNAUTHENTICATED, caller.rejection());
    }

    @Test
    void vmSendsNoOrdersAfterTimeThatItsClockDidNotCount() {
        fleet.wallSkewMillis = 5_000;
        final int before = orderCount();
        final List<FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            callers.add(streamRequest(i % VMS, i));
        }
        fleet.advance(20);
        assertEquals(before, orderCount());
        fleet.advance(3_000);
        for (int i = 0; i < 10; i++) {
            streamRequest(i % VMS, i);
        }
        fleet.advance(1_500);
        assertTrue(orderCount() > before);
    }

    @Test
    void teamAtSevenTimesItsRateThroughAllVmsGetsAboutItsRate() {
        final double rate = 20_000;
        fleet.writePlan(2, List.of(TestFleet.KEY), rate);
        for (int i = 0; i < TARGETS; i++) {
            streamRequest(0, i);
        }
        fleet.advance(3_000);
        final int before = fleet.attempts.size();
        final int seconds = 8;
        for (int tick = 0; tick < seconds * 70; tick++) {
            final int sent = fleet.attempts.size();
            streamRequest(tick % VMS, tick % TARGETS);
            if (fleet.attempts.size() > sent) {
                fleet.lastAttempt().respond(200, false);
            }
            fleet.advance(1_000 / 70);
        }
        final double units = (fleet.attempts.size() - before) * 2_010.0;
        assertTrue(units < (rate * seconds + rate) * 1.1, "units " + units);
        assertTrue(units > rate * seconds * 0.9, "units " + units);
    }

    /**
     * A team uses up its rate at the other VMs while one VM is partitioned, and continues to send after the partition.
     */
    @Test
    void vmDoesNotRejectRequestsForWhatOthersAdmittedDuringItsPartition() {
        final double rate = 20_000;
        final VmId partitioned = TestFleet.vm(VMS - 1);
        fleet.writePlan(2, List.of(TestFleet.KEY), rate);
        sendAtOthers(2_000);
        fleet.network.cutOff(partitioned, true);
        fleet.store.cutOff(partitioned, true);
        sendAtOthers(8_000);
        fleet.network.cutOff(partitioned, false);
        fleet.store.cutOff(partitioned, false);
        fleet.advance(3_000);
        final FakeCaller caller = fleet.sendRequest(partitioned, PLAIN, Optional.empty(), 100);
        assertEquals(List.of(), caller.rejections);
    }

    /** One team sends many times its rate while some VMs are partitioned for longer than their leases last. */
    @Test
    void teamDoesNotExceedItsRateWhilePartitionedVmsContinueToServe() {
        final double rate = 20_000;
        fleet.writePlan(2, List.of(TestFleet.KEY), rate);
        sendAtAll(2_000);
        for (int vm = VMS - 2; vm < VMS; vm++) {
            fleet.network.cutOff(TestFleet.vm(vm), true);
            fleet.store.cutOff(TestFleet.vm(vm), true);
        }
        sendAtAll(4_000);
        final int before = fleet.attempts.size();
        final int seconds = 6;
        sendAtAll(1_000 * seconds);
        final double units = (fleet.attempts.size() - before) * PLAIN_UNITS;
        assertTrue(units < rate * seconds * 1.1, "units " + units);
    }

    // Guards against requests of teams within their rates that all VMs refuse after a few planned stops.
    @Test
    void plannedStopsInTurnDoNotCountAdmittedUnitsAgain() {
        final double rate = 100_000;
        fleet.writePlan(2, List.of(TestFleet.KEY), rate);
        sendAtAll(20_000);
        for (int vm = 0; vm < VMS - 1; vm++) {
            fleet.vms.get(TestFleet.vm(vm)).core.handOver().subscribe();
            sendAtAll(1_000);
        }
        final int before = fleet.attempts.size();
        sendAtAll(3_000);
        assertEquals(300, fleet.attempts.size() - before);
    }

    private void sendAtOthers(final int millis) {
        sendAt(VMS - 1, millis);
    }

    private void sendAtAll(final int millis) {
        sendAt(VMS, millis);
    }

    private void sendAt(final int vms, final int millis) {
        for (int tick = 0; tick < millis / 10; tick++) {
            final int sent = fleet.attempts.size();
            fleet.sendRequest(TestFleet.vm(tick % vms), PLAIN, Optional.empty(), PLAIN_UNITS - 10);
            if (fleet.attempts.size() > sent) {
                fleet.lastAttempt().respond(200, false);
            }
            fleet.advance(10);
        }
    }

    @Test
    void targetWithExpiredAnnouncementStaysUsableForALimitedTimeAfterAnOutage() {
        fleet.store.setOutage(true);
        fleet.advance(5_000);
        fleet.store.setOutage(false);
        fleet.advance(600);
        fleet.removeEntry("target/t0");
        fleet.advance(400);
        assertTrue(usedTargets(0).contains(new TargetId("t0")));
        fleet.advance(4_000);
        assertTrue(!usedTargets(0).contains(new TargetId("t0")));
    }

    // Guards against a request that has crashed targets and is run again by a VM that starts later.
    @Test
    void vmThatStartsLaterRefusesARequestThatCrashedTwoTargets() {
        crashTwoTargets();
        final VmId later = TestFleet.vm(VMS);
        fleet.start(later);
        fleet.advance(3_000);
        final FakeCaller caller = fleet.sendRequest(later, PLAIN, Optional.empty(), PLAIN_UNITS);
        assertEquals(ErrorKind.POISON_REQUEST, caller.rejection());
    }

    // Guards against BUDGET: a request that crashes targets is let through again after all VMs were killed at once.
    @Test
    void requestThatCrashedTwoTargetsIsRefusedAfterAllVmsWereKilled() {
        crashTwoTargets();
        for (int kill = 0; kill < 3; kill++) {
            fleet.restartAll();
            fleet.advance(6_000);
            for (int vm = 0; vm < VMS; vm++) {
                final FakeCaller caller = fleet.sendRequest(TestFleet.vm(vm), PLAIN, Optional.empty(), PLAIN_UNITS);
                assertEquals(ErrorKind.POISON_REQUEST, caller.rejection());
            }
        }
    }

    // Guards against evidence that is lost if the store is away at the moment of the crash.
    @Test
    void requestThatCrashedTwoTargetsDuringAnOutageOfTheStoreIsRefusedAfterAllVmsWereKilled() {
        fleet.store.setOutage(true);
        crashTwoTargets();
        fleet.advance(3_000);
        fleet.store.setOutage(false);
        fleet.advance(4_000);
        fleet.restartAll();
        fleet.advance(6_000);
        final FakeCaller caller = fleet.sendRequest(TestFleet.vm(1), PLAIN, Optional.empty(), PLAIN_UNITS);
        assertEquals(ErrorKind.POISON_REQUEST, caller.rejection());
    }

    // Guards against LOST: a request that comes late in a stop is run although its VM may exit before the response.
    @Test
    void requestThatMayOutliveTheStopOfItsVmIsRejectedAtOnce() {
        fleet.vms.get(TestFleet.vm(0)).core.beginStop(Duration.ofMillis(2_700), Duration.ofMillis(6_700));
        fleet.advance(2_600);
        assertEquals(1, attemptsOfOneRequest());
        fleet.advance(200);
        final FakeCaller late = fleet.sendRequest(TestFleet.vm(0), PLAIN, Optional.empty(), PLAIN_UNITS);
        assertEquals(ErrorKind.STOPPING, late.rejection());
    }

    private int attemptsOfOneRequest() {
        final int before = fleet.attempts.size();
        fleet.sendRequest(TestFleet.vm(0), PLAIN, Optional.empty(), PLAIN_UNITS);
        return fleet.attempts.size() - before;
    }

    private void crashTwoTargets() {
        final Set<TargetId> crashed = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            fleet.sendRequest(TestFleet.vm(0), PLAIN, Optional.empty(), PLAIN_UNITS);
            crashed.add(fleet.lastAttempt().target());
            fleet.lastAttempt().end(AttemptEnd.LOST);
            fleet.advance(1_000);
        }
        assertEquals(2, crashed.size());
    }

    private Set<TargetId> usedTargets(final int vm) {
        final Set<TargetId> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            final int before = fleet.attempts.size();
            fleet.sendRequest(TestFleet.vm(vm), STREAM, Optional.empty(), 2_000);
            if (fleet.attempts.size() > before) {
                used.add(fleet.lastAttempt().target());
            }
        }
        fleet.attempts.forEach(attempt -> attempt.cancel());
        return used;
    }

    private int orderCount() {
        return fleet.targets.values().stream()
                .mapToInt(target -> target.orderCount())
                .sum();
    }

    private FakeCaller streamRequest(final int vm, final int adapter) {
        final VmId id = TestFleet.vm(vm);
        return fleet.sendRequest(id, STREAM, Optional.of(TestFleet.adapter(adapter)), 2_000);
    }
}
