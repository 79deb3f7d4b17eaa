package org.balsambank.core.serving;

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
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests several VMs together under kills, cuts, outages and suspensions, in virtual time. Confined to one thread. */
final class ServingFleetTest {
    private static final String STREAM = "/stream/";
    private static final int VMS = 4;
    private static final int RUNNERS = 5;

    private static final String PLAIN = "/unsafe/";
    private static final int PLAIN_UNITS = 600;
    private static final int PLAIN_TARGETS = 3;

    private final TestFleet fleet = new TestFleet(VMS, RUNNERS);

    ServingFleetTest() {
        for (int i = 0; i < PLAIN_TARGETS; i++) {
            fleet.announce(fleet.plain(i, false));
        }
        fleet.advance(1_000);
    }

    @Test
    void anyVmGetsAnAdapterLoadedByTheOneThatGivesOrders() {
        for (int i = 0; i < 12; i++) {
            stream(i % VMS, i);
        }
        fleet.advance(1_500);
        assertEquals(12, fleet.sends.size());
    }

    @Test
    void anAdapterGoesToTheSameTargetFromAllVms() {
        final Map<AdapterKey, Set<TargetId>> used = new HashMap<>();
        for (int round = 0; round < 8; round++) {
            for (int i = 0; i < 10; i++) {
                stream(round % VMS, i);
                fleet.advance(400);
                used.computeIfAbsent(TestFleet.adapter(i), key -> new HashSet<>())
                        .add(fleet.lastSend().target());
                fleet.lastSend().answer(200, false);
            }
        }
        used.values().forEach(targets -> assertEquals(1, targets.size()));
    }

    @Test
    void loadsGoOnSecondsAfterTheVmThatGaveOrdersWasKilled() {
        for (int killed = 0; killed < VMS - 1; killed++) {
            fleet.kill(TestFleet.vm(killed));
            fleet.advance(8_000);
            final int before = fleet.sends.size();
            for (int i = 0; i < 10; i++) {
                stream(VMS - 1, 100 * killed + i);
            }
            fleet.advance(2_000);
            assertEquals(10, fleet.sends.size() - before, "after " + (killed + 1) + " kills");
        }
        fleet.runners.values().forEach(runner -> assertEquals(0, runner.overfull()));
    }

    @Test
    void aPlannedStopHandsOrdersOverAtOnce() {
        fleet.vms.get(TestFleet.vm(0)).core.handOver().subscribe();
        fleet.advance(4_500);
        final int before = fleet.sends.size();
        for (int i = 0; i < 10; i++) {
            stream(1, i);
        }
        fleet.advance(1_500);
        assertEquals(10, fleet.sends.size() - before);
    }

    @Test
    void requestsForLoadedAdaptersAreServedWhileTheServiceIsOut() {
        for (int i = 0; i < 5; i++) {
            stream(0, i);
        }
        fleet.advance(1_500);
        fleet.service.setOutage(true);
        fleet.advance(10_000);
        final int before = fleet.sends.size();
        for (int i = 0; i < 5; i++) {
            stream(2, i);
        }
        fleet.advance(1_000);
        assertEquals(5, fleet.sends.size() - before);
        fleet.service.setOutage(false);
        fleet.advance(9_000);
        stream(3, 50);
        fleet.advance(1_500);
        assertEquals(6, fleet.sends.size() - before);
    }

    @Test
    void loadsGoOnWhileNoVmCanReadTheServiceButNotWhileSomeCan() {
        fleet.service.setOutage(true);
        fleet.advance(12_000);
        for (int i = 0; i < 10; i++) {
            stream(i % VMS, i);
        }
        fleet.advance(1_500);
        assertEquals(10, fleet.sends.size());
        fleet.service.setOutage(false);
        fleet.advance(9_000);
        for (int vm = 1; vm < VMS; vm++) {
            fleet.service.cutOff(TestFleet.vm(vm), true);
        }
        fleet.advance(12_000);
        fleet.runners.values().forEach(runner -> assertEquals(0, runner.overfull()));
        assertTrue(fleet.vms.keySet().stream()
                .filter(vm -> !vm.equals(TestFleet.vm(0)))
                .noneMatch(this::givesOrders));
    }

    private boolean givesOrders(final VmId vm) {
        return fleet.vms.get(vm).core.controlsTargets();
    }

    @Test
    void aVmThatCannotReadTheServiceLearnsOfAWithdrawnKeyFromTheOthers() {
        fleet.service.cutOff(TestFleet.vm(0), true);
        fleet.advance(2_000);
        fleet.plan(2, List.of("another-key"), 1_000_000);
        fleet.advance(6_000);
        final FakeCaller caller = fleet.call(TestFleet.vm(0), "/unsafe/", Optional.empty(), 10);
        assertEquals(ErrorKind.UNAUTHENTICATED, caller.refusal());
    }

    @Test
    void aVmGivesNoOrdersAfterTimeThatItsClockDidNotCount() {
        fleet.wallSkewMillis = 5_000;
        final int before = orders();
        final List<FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            callers.add(stream(i % VMS, i));
        }
        fleet.advance(20);
        assertEquals(before, orders());
        fleet.advance(3_000);
        for (int i = 0; i < 10; i++) {
            stream(i % VMS, i);
        }
        fleet.advance(1_500);
        assertTrue(orders() > before);
    }

    @Test
    void aTeamAtSevenTimesItsRateThroughAllVmsGetsItsRateAndNotMuchMore() {
        final double rate = 20_000;
        fleet.plan(2, List.of(TestFleet.KEY), rate);
        for (int i = 0; i < RUNNERS; i++) {
            stream(0, i);
        }
        fleet.advance(3_000);
        final int before = fleet.sends.size();
        final int seconds = 8;
        for (int tick = 0; tick < seconds * 70; tick++) {
            final int sent = fleet.sends.size();
            stream(tick % VMS, tick % RUNNERS);
            if (fleet.sends.size() > sent) {
                fleet.lastSend().answer(200, false);
            }
            fleet.advance(1_000 / 70);
        }
        final double units = (fleet.sends.size() - before) * 2_010.0;
        assertTrue(units < (rate * seconds + rate) * 1.1, "units " + units);
        assertTrue(units > rate * seconds * 0.9, "units " + units);
    }

    /** The load pattern: a team uses its rate at the others while one VM is cut off, and goes on after the cut. */
    @Test
    void aVmThatWasCutOffDoesNotRefuseForWhatTheOthersAdmittedMeanwhile() {
        final double rate = 20_000;
        final VmId cut = TestFleet.vm(VMS - 1);
        fleet.plan(2, List.of(TestFleet.KEY), rate);
        plainAtOthers(2_000);
        fleet.network.cutOff(cut, true);
        fleet.service.cutOff(cut, true);
        plainAtOthers(8_000);
        fleet.network.cutOff(cut, false);
        fleet.service.cutOff(cut, false);
        fleet.advance(3_000);
        final FakeCaller caller = fleet.call(cut, PLAIN, Optional.empty(), 100);
        assertEquals(List.of(), caller.refusals);
    }

    /** The load pattern: one team sends many times its rate while some VMs are cut off for longer than their leases. */
    @Test
    void aTeamGetsNoMoreThanItsRateWhileVmsThatAreCutOffGoOnServing() {
        final double rate = 20_000;
        fleet.plan(2, List.of(TestFleet.KEY), rate);
        plainAtAll(2_000);
        for (int vm = VMS - 2; vm < VMS; vm++) {
            fleet.network.cutOff(TestFleet.vm(vm), true);
            fleet.service.cutOff(TestFleet.vm(vm), true);
        }
        plainAtAll(4_000);
        final int before = fleet.sends.size();
        final int seconds = 6;
        plainAtAll(1_000 * seconds);
        final double units = (fleet.sends.size() - before) * PLAIN_UNITS;
        assertTrue(units < rate * seconds * 1.1, "units " + units);
    }

    private void plainAtOthers(final int millis) {
        plainAt(VMS - 1, millis);
    }

    private void plainAtAll(final int millis) {
        plainAt(VMS, millis);
    }

    private void plainAt(final int vms, final int millis) {
        for (int tick = 0; tick < millis / 10; tick++) {
            final int sent = fleet.sends.size();
            fleet.call(TestFleet.vm(tick % vms), PLAIN, Optional.empty(), PLAIN_UNITS - 10);
            if (fleet.sends.size() > sent) {
                fleet.lastSend().answer(200, false);
            }
            fleet.advance(10);
        }
    }

    @Test
    void aLapsedAnnouncementCountsForAWhileAfterAnOutageAndThenNoMore() {
        fleet.service.setOutage(true);
        fleet.advance(5_000);
        fleet.service.setOutage(false);
        fleet.advance(600);
        fleet.remove("target/t0");
        fleet.advance(400);
        assertTrue(targets(0).contains(new TargetId("t0")));
        fleet.advance(4_000);
        assertTrue(!targets(0).contains(new TargetId("t0")));
    }

    private Set<TargetId> targets(final int vm) {
        final Set<TargetId> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            final int before = fleet.sends.size();
            fleet.call(TestFleet.vm(vm), STREAM, Optional.empty(), 2_000);
            if (fleet.sends.size() > before) {
                used.add(fleet.lastSend().target());
            }
        }
        fleet.sends.forEach(send -> send.cancel());
        return used;
    }

    private int orders() {
        return fleet.runners.values().stream()
                .mapToInt(runner -> runner.orders())
                .sum();
    }

    private FakeCaller stream(final int vm, final int adapter) {
        final VmId id = TestFleet.vm(vm);
        return fleet.call(id, STREAM, Optional.of(TestFleet.adapter(adapter)), 2_000);
    }
}
