package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.balsambank.core.id.VmId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that a team gets its rate, and no more, from a fleet of VMs that fail or restart, in virtual time. Confined to
 * one thread.
 */
final class FleetQuotaTest {
    private static final int VMS = 72;
    private static final int DOMAINS = 4;
    private static final int PLAIN_TARGETS = 40;
    private static final double RATE = 461_742;
    private static final double OVERLOAD = 7;
    private static final double WELL_BELOW_RATE = 0.6;
    private static final int STOPPED_PART = 18;
    private static final int UNITS = 4_000;
    private static final int WINDOW_MILLIS = 8_000;
    private static final int TICK_MILLIS = 10;
    private static final double ALLOWED = (RATE * WINDOW_MILLIS / 1_000 + RATE) * 1.1 + 17_000;

    private final Random random = new Random(1);
    private final List<Long> admissionMillis = new ArrayList<>();
    private final List<Long> refusalMillis = new ArrayList<>();
    private TestFleet fleet;
    private int vmCount;

    private void startFleet(final int vms) {
        vmCount = vms;
        fleet = new TestFleet(vms, DOMAINS, 1);
        for (int i = 0; i < PLAIN_TARGETS; i++) {
            fleet.announce(fleet.plainTarget(i, false));
        }
        fleet.writePlan(2, List.of(TestFleet.KEY), RATE);
    }

    // Guards against QUOTA: a busy fleet (messages take up to 250 ms) admits more while VMs stop and start in turn.
    @Test
    @Tag("known-red")
    void teamStaysWithinItsRateWhileVmsStopAndStartInTurn() {
        startFleet(VMS);
        stopAndStartVms(RATE / 2, RATE * OVERLOAD);
        assertWithinRate();
    }

    // Guards against QUOTA: the same in a small and in a larger fleet.
    @ParameterizedTest
    @ValueSource(ints = {7, 95})
    @Tag("known-red")
    void teamStaysWithinItsRateWhileVmsStopAndStartInTurn(final int vms) {
        startFleet(vms);
        stopAndStartVms(RATE / 2, RATE * OVERLOAD);
        assertWithinRate();
    }

    // Guards against QUOTA: a busy fleet (messages take up to 250 ms) admits more when a team suddenly sends much.
    @ParameterizedTest
    @ValueSource(ints = {7, 72})
    @Tag("known-red")
    void teamStaysWithinItsRateWhenItSuddenlySendsMuch(final int vms) {
        sendMuchSuddenly(vms);
    }

    // Guards against QUOTA: the same in a larger fleet.
    @Test
    @Tag("known-red")
    void teamStaysWithinItsRateWhenItSuddenlySendsMuchTo95Vms() {
        sendMuchSuddenly(95);
    }

    private void sendMuchSuddenly(final int vms) {
        startFleet(vms);
        fleet.network.delay(Duration.ofMillis(5), Duration.ofMillis(250));
        send(10_000, RATE / 2);
        send(15_000, RATE * OVERLOAD);
        assertWithinRate();
    }

    // Guards against QUOTA: a team that sends many times its rate gets more while 35 in 100 VMs are cut off.
    @Test
    void teamStaysWithinItsRateWhileManyOf7VmsAreCutOff() {
        startFleet(7);
        cutVmsOff(RATE / 2, RATE * OVERLOAD);
        assertWithinRate();
    }

    // Guards against QUOTA: the same in larger fleets.
    @ParameterizedTest
    @ValueSource(ints = {72, 95})
    @Tag("known-red")
    void teamStaysWithinItsRateWhileManyVmsAreCutOff(final int vms) {
        startFleet(vms);
        cutVmsOff(RATE / 2, RATE * OVERLOAD);
        assertWithinRate();
    }

    // Guards against refusals below the rate: units that were reported late or twice, after VMs were cut off.
    @Test
    void teamWellBelowItsRateIsNotRefusedWhileManyOf7VmsAreCutOff() {
        startFleet(7);
        cutVmsOff(RATE * WELL_BELOW_RATE, RATE * WELL_BELOW_RATE);
        assertEquals(List.of(), refusalMillis);
    }

    // Guards against refusals below the rate: the same in a fleet of 72 VMs.
    @Test
    @Tag("known-red")
    void teamWellBelowItsRateIsNotRefusedWhileManyOf72VmsAreCutOff() {
        startFleet(VMS);
        cutVmsOff(RATE * WELL_BELOW_RATE, RATE * WELL_BELOW_RATE);
        assertEquals(List.of(), refusalMillis);
    }

    // Guards against refusals below the rate: the same in a larger fleet.
    @Test
    @Tag("known-red")
    void teamWellBelowItsRateIsNotRefusedWhileManyOf95VmsAreCutOff() {
        startFleet(95);
        cutVmsOff(RATE * WELL_BELOW_RATE, RATE * WELL_BELOW_RATE);
        assertEquals(List.of(), refusalMillis);
    }

    // Guards against refusals below the rate: units that were reported late or twice, while VMs stop and start.
    @ParameterizedTest
    @ValueSource(ints = {7, 95})
    @Tag("known-red")
    void teamWellBelowItsRateIsNotRefusedWhileVmsStopAndStartInTurn(final int vms) {
        startFleet(vms);
        stopAndStartVms(RATE * WELL_BELOW_RATE, RATE * WELL_BELOW_RATE);
        assertEquals(List.of(), refusalMillis);
    }

    // Guards against refusals below the rate: the same in a fleet of 72 VMs.
    @Test
    @Tag("known-red")
    void teamWellBelowItsRateIsNotRefusedWhileSomeOf72VmsStopAndStartInTurn() {
        startFleet(VMS);
        stopAndStartVms(RATE * WELL_BELOW_RATE, RATE * WELL_BELOW_RATE);
        assertEquals(List.of(), refusalMillis);
    }

    private void stopAndStartVms(final double early, final double late) {
        final int perRound = Math.max(1, vmCount / STOPPED_PART);
        fleet.network.delay(Duration.ofMillis(5), Duration.ofMillis(250));
        send(3_000, RATE / 2);
        final Deque<VmId> stopped = new ArrayDeque<>();
        for (int round = 0; round < 16; round++) {
            while (!stopped.isEmpty()) {
                restart(stopped.remove());
            }
            for (int i = 0; i < perRound; i++) {
                final VmId vm = TestFleet.vm((round * perRound + i) % vmCount);
                fleet.vms.get(vm).core.handOver().subscribe();
                stopped.add(vm);
            }
            send(700, round < 5 ? early : late);
            stopped.forEach(fleet::kill);
            send(700, round < 5 ? early : late);
        }
    }

    private void cutVmsOff(final double early, final double late) {
        send(3_000, early);
        cut(true);
        send(2_000, early);
        send(10_000, late);
        cut(false);
        send(6_000, late);
    }

    private void cut(final boolean value) {
        for (int a = 0; a < vmCount; a++) {
            for (int b = a + 1; b < vmCount; b++) {
                if (isCutOff(a) != isCutOff(b)) {
                    fleet.network.cut(TestFleet.vm(a), TestFleet.vm(b), value);
                }
            }
        }
        for (int a = 0; a < vmCount; a++) {
            if (isCutOff(a)) {
                fleet.store.cutOff(TestFleet.vm(a), value);
            }
        }
    }

    private static boolean isCutOff(final int vm) {
        return vm * 37 % 100 < 35;
    }

    private void restart(final VmId vm) {
        fleet.store.cutOff(vm, false);
        fleet.network.cutOff(vm, false);
        fleet.start(vm);
    }

    private void send(final int millis, final double unitsPerSecond) {
        double due = 0;
        for (int at = 0; at < millis; at += TICK_MILLIS) {
            due += unitsPerSecond * TICK_MILLIS / 1_000;
            while (due >= UNITS) {
                due -= UNITS;
                sendOne();
            }
            fleet.advance(TICK_MILLIS);
        }
    }

    private void sendOne() {
        final List<VmId> vms = List.copyOf(fleet.vms.keySet());
        final VmId vm = vms.get(random.nextInt(vms.size()));
        final int before = fleet.attempts.size();
        fleet.sendUniqueRequest(vm, "/unsafe/", UNITS - 10, List.of());
        if (fleet.attempts.size() > before) {
            fleet.lastAttempt().respond(200, false);
            admissionMillis.add(fleet.clock.now(TimeUnit.MILLISECONDS));
        } else {
            refusalMillis.add(fleet.clock.now(TimeUnit.MILLISECONDS));
        }
    }

    private void assertWithinRate() {
        final Map<Long, Long> bySecond = new TreeMap<>();
        long most = 0;
        for (int from = 0, to = 0; to < admissionMillis.size(); to++) {
            bySecond.merge(admissionMillis.get(to) / 1_000, (long) UNITS, Long::sum);
            while (admissionMillis.get(to) - admissionMillis.get(from) >= WINDOW_MILLIS) {
                from++;
            }
            most = Math.max(most, (to - from + 1L) * UNITS);
        }
        assertTrue(most <= ALLOWED, "units " + most + " in a window, allowed " + ALLOWED + ", by second " + bySecond);
    }
}
