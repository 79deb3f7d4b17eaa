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

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that a team gets its rate from a fleet of 72 VMs that fail or restart, in virtual time. Confined to one thread.
 */
final class FleetQuotaTest {
    private static final int VMS = 72;
    private static final int DOMAINS = 4;
    private static final int PLAIN_TARGETS = 40;
    private static final double RATE = 461_742;
    private static final double OVERLOAD = 7;
    private static final int UNITS = 4_000;
    private static final int WINDOW_MILLIS = 8_000;
    private static final int TICK_MILLIS = 10;
    private static final double ALLOWED = (RATE * WINDOW_MILLIS / 1_000 + RATE) * 1.1 + 17_000;

    private final TestFleet fleet = new TestFleet(VMS, DOMAINS, 1);
    private final Random random = new Random(1);
    private final List<Long> admissionMillis = new ArrayList<>();

    FleetQuotaTest() {
        for (int i = 0; i < PLAIN_TARGETS; i++) {
            fleet.announce(fleet.plainTarget(i, false));
        }
        fleet.writePlan(2, List.of(TestFleet.KEY), RATE);
    }

    // Guards against QUOTA: a busy fleet (messages take up to 250 ms) admits more while VMs stop and start in turn.
    @Test
    @Tag("known-red")
    void teamStaysWithinItsRateWhileVmsStopAndStartInTurn() {
        final int perRound = 4;
        fleet.network.delay(Duration.ofMillis(5), Duration.ofMillis(250));
        send(3_000, RATE / 2);
        final Deque<VmId> stopped = new ArrayDeque<>();
        for (int round = 0; round < 16; round++) {
            while (!stopped.isEmpty()) {
                restart(stopped.remove());
            }
            for (int i = 0; i < perRound; i++) {
                final VmId vm = TestFleet.vm((round * perRound + i) % VMS);
                fleet.vms.get(vm).core.handOver().subscribe();
                stopped.add(vm);
            }
            send(700, round < 5 ? RATE / 2 : RATE * OVERLOAD);
            stopped.forEach(fleet::kill);
            send(700, round < 5 ? RATE / 2 : RATE * OVERLOAD);
        }
        assertWithinRate();
    }

    // Guards against QUOTA: a team that sends many times its rate gets more while 35 in 100 VMs are cut off.
    @Test
    @Tag("known-red")
    void teamStaysWithinItsRateWhileManyVmsAreCutOff() {
        send(3_000, RATE / 2);
        cut(true);
        send(2_000, RATE / 2);
        send(10_000, RATE * OVERLOAD);
        cut(false);
        send(6_000, RATE * OVERLOAD);
        assertWithinRate();
    }

    private void cut(final boolean value) {
        for (int a = 0; a < VMS; a++) {
            for (int b = a + 1; b < VMS; b++) {
                if (isCutOff(a) != isCutOff(b)) {
                    fleet.network.cut(TestFleet.vm(a), TestFleet.vm(b), value);
                }
            }
        }
        for (int a = 0; a < VMS; a++) {
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
