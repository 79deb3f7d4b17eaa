package org.balsambank.core.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that all VMs together keep the limit that a target names in its responses, in virtual time. Confined to one
 * thread.
 */
final class FleetLimitTest {
    private static final String PLAIN = "/unsafe/";
    private static final String STREAM = "/stream/";
    private static final int DOMAINS = 4;
    private static final int TARGETS = 3;
    private static final int STEP_MILLIS = 10;
    private static final int RESPONSE_MILLIS = 60;
    private static final long SPAN_MILLIS = 4_000;
    private static final long SETTLED_MILLIS = 3_000;
    private static final long TOLD_AFTER_MILLIS = 500;
    private static final double OVERAGE = 1.5;
    private static final double SLACK = 5;

    private static final TargetId FIRST = new TargetId("p0");

    private final Random random = new Random(41);
    private final Deque<FakeAttempt> running = new ArrayDeque<>();
    private final Map<FakeAttempt, Long> sentMillis = new HashMap<>();
    private final Map<TargetId, String> limits = new HashMap<>();
    private final Map<TargetId, Map<VmId, Long>> toldMillis = new HashMap<>();
    private final Map<TargetId, Deque<Long>> counted = new HashMap<>();
    private final Map<TargetId, Long> limitedMillis = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Set<VmId> excused = new HashSet<>();
    private final List<FakeCaller> callers = new ArrayList<>();
    private int seen;
    private int sent;

    // Guards against LIMIT: all VMs together send a target more requests a second than it has named in its responses.
    @ParameterizedTest
    @CsvSource({"7,0.5", "7,1", "7,8", "72,0.5", "72,1", "72,8", "95,0.5", "95,1", "95,8"})
    void targetGetsNoMoreThanItsLimitFromAllVmsTogether(final int vms, final String perSecond) {
        final TestFleet fleet = plainFleet(vms);
        load(fleet, PLAIN, 1_000);
        limits.put(FIRST, perSecond);
        load(fleet, PLAIN, 12_000);
        assertTrue(
                broken.isEmpty(),
                broken.size() + " times, first " + broken.stream().findFirst().orElse(""));
    }

    // Guards against a limit that keeps requests away from a target which takes them.
    @ParameterizedTest
    @CsvSource({"7,1,7", "7,8,60", "95,1,7", "95,8,60"})
    void targetGetsMostOfWhatItTakes(final int vms, final String perSecond, final int expected) {
        final TestFleet fleet = plainFleet(vms);
        limits.put(FIRST, perSecond);
        load(fleet, PLAIN, 3_000);
        final long before = requestsTo(fleet, FIRST);
        load(fleet, PLAIN, 10_000);
        final long during = requestsTo(fleet, FIRST) - before;
        assertTrue(during >= expected, during + " requests in 10 s");
        assertEquals(List.of(), broken);
    }

    // Guards against LIMIT: requests that wait in retries or at other VMs when the limit falls are sent all the same.
    @ParameterizedTest
    @ValueSource(ints = {7, 95})
    void lowerLimitHoldsAtOnce(final int vms) {
        final TestFleet fleet = plainFleet(vms);
        limits.put(FIRST, "8");
        load(fleet, PLAIN, 5_000);
        limits.put(FIRST, "1");
        limitedMillis.clear();
        load(fleet, PLAIN, 10_000);
        assertEquals(List.of(), broken);
        assertTrue(requestsTo(fleet, FIRST) > 40, "requests " + requestsTo(fleet, FIRST));
    }

    // Guards against a target that never gets its share again after a limit has ended.
    @ParameterizedTest
    @CsvSource({"7,1", "7,0", "95,1", "95,0.1"})
    void targetGetsItsFullShareAfterItsLimitHasEnded(final int vms, final String perSecond) {
        final TestFleet fleet = plainFleet(vms);
        limits.put(FIRST, perSecond);
        load(fleet, PLAIN, 4_000);
        limits.clear();
        load(fleet, PLAIN, 22_000);
        final long before = requestsTo(fleet, FIRST);
        load(fleet, PLAIN, 2_000);
        final long share = requestsTo(fleet, FIRST) - before;
        assertTrue(share > 200 / TARGETS / 2, share + " of 200 requests");
    }

    @Test
    void newStartHasNoLimit() {
        final TestFleet fleet = new TestFleet(7, DOMAINS, TARGETS);
        final TargetId target = new TargetId("t0");
        limits.put(target, "0.5");
        load(fleet, STREAM, 3_000);
        limits.clear();
        fleet.announce(fleet.engineTarget(0, 2, false));
        load(fleet, STREAM, 2_000);
        final long before = requestsTo(fleet, target);
        load(fleet, STREAM, 2_000);
        assertTrue(requestsTo(fleet, target) - before > 30, "requests " + (requestsTo(fleet, target) - before));
    }

    // Guards against LIMIT: the VM that issues permits is lost, or VMs disagree about which one does.
    @ParameterizedTest
    @CsvSource({"7,1", "7,8", "40,1", "40,8"})
    void limitHoldsWhileVmsAreKilledStartedAndCutOff(final int vms, final String perSecond) {
        final TestFleet fleet = plainFleet(vms);
        limits.put(FIRST, perSecond);
        load(fleet, PLAIN, 4_000);
        for (int round = 0; round < 5; round++) {
            final VmId killed = issuer(fleet, FIRST);
            fleet.kill(killed);
            forget(killed);
            load(fleet, PLAIN, 1_500);
            final VmId cut = issuer(fleet, FIRST);
            fleet.network.cutOff(cut, true);
            fleet.store.cutOff(cut, true);
            excused.add(cut);
            load(fleet, PLAIN, 4_000);
            fleet.network.cutOff(cut, false);
            fleet.store.cutOff(cut, false);
            fleet.network.cutOff(killed, false);
            fleet.store.cutOff(killed, false);
            fleet.start(killed);
            load(fleet, PLAIN, 2_500);
            excused.remove(cut);
        }
        assertEquals(List.of(), broken);
    }

    // Guards against LIMIT: a VM that stops goes on issuing permits to itself, beside the one that does so after it.
    @ParameterizedTest
    @CsvSource({"7,8", "7,20", "40,20"})
    void limitHoldsWhileIssuersStopAndServeOn(final int vms, final String perSecond) {
        final TestFleet fleet = plainFleet(vms);
        limits.put(FIRST, perSecond);
        load(fleet, PLAIN, 4_000);
        for (int round = 0; round < 3; round++) {
            final VmId stopping = issuer(fleet, FIRST);
            fleet.vms.get(stopping).core.handOver().subscribe();
            for (int i = 0; i < 500; i++) {
                callers.add(fleet.sendRequest(stopping, PLAIN, Optional.empty(), 1_000 + ++sent));
                load(fleet, PLAIN, STEP_MILLIS);
            }
            fleet.kill(stopping);
            forget(stopping);
            load(fleet, PLAIN, 5_000);
        }
        assertEquals(List.of(), broken);
    }

    // Guards against LIMIT: VMs that cannot read the store cannot agree on the VM that issues permits.
    @Test
    void limitHoldsWhileTheStoreIsAway() {
        final TestFleet fleet = plainFleet(7);
        limits.put(FIRST, "1");
        fleet.store.setOutage(true);
        load(fleet, PLAIN, 12_000);
        fleet.store.setOutage(false);
        load(fleet, PLAIN, 6_000);
        assertEquals(List.of(), broken);
    }

    // Guards against LIMIT where every target of a service is in need, and against refusals that come late.
    @ParameterizedTest
    @ValueSource(ints = {7, 95})
    void allTargetsOfAServiceLimitTheirRequests(final int vms) {
        final TestFleet fleet = plainFleet(vms);
        for (int i = 0; i < TARGETS; i++) {
            limits.put(new TargetId("p" + i), "2");
        }
        load(fleet, PLAIN, 15_000);
        assertEquals(List.of(), broken);
        final long served = fleet.attempts.size();
        assertTrue(served > 2 * TARGETS * 10, served + " served");
        final List<FakeCaller> late = callers.stream()
                .filter(caller -> !caller.rejections.isEmpty())
                .filter(caller -> caller.rejection() == ErrorKind.OVERLOADED)
                .toList();
        assertTrue(late.size() > 500, late.size() + " refused");
        late.forEach(caller -> assertTrue(caller.retryAfter.orElseThrow().toMillis() <= 2_500));
    }

    // Guards against requests for an adapter of a target in need that find no other target.
    @Test
    void adapterOfALimitedTargetIsLoadedElsewhere() {
        final TestFleet fleet = new TestFleet(7, DOMAINS, TARGETS);
        final Optional<AdapterKey> adapter = Optional.of(TestFleet.adapter(1));
        fleet.sendRequest(TestFleet.vm(0), STREAM, adapter, 100);
        fleet.advance(1_000);
        final TargetId home = fleet.lastAttempt().target();
        limits.put(home, "1");
        respond(fleet);
        fleet.advance(500);
        for (int i = 0; i < 600; i++) {
            sendForAdapter(fleet, TestFleet.vm(i % 7), adapter, STEP_MILLIS);
        }
        fleet.advance(1_500);
        assertEquals(List.of(), broken);
        final long refused =
                callers.stream().filter(caller -> !caller.rejections.isEmpty()).count();
        assertTrue(refused < 12, refused + " of 600 refused");
    }

    // Guards against requests that are given up after asking limited targets, though another one would take them.
    @Test
    void requestFindsTheOneTargetWithoutALimit() {
        final TestFleet fleet = new TestFleet(1, DOMAINS, 12);
        for (int i = 1; i < 12; i++) {
            limits.put(new TargetId("t" + i), "0.2");
        }
        load(fleet, STREAM, 3_000);
        callers.clear();
        fleet.start(TestFleet.vm(1));
        fleet.advance(2_000);
        for (int i = 0; i < 100; i++) {
            sendForAdapter(fleet, TestFleet.vm(1), Optional.of(TestFleet.adapter(i % 4)), 5 * STEP_MILLIS);
        }
        fleet.advance(3_000);
        callers.forEach(caller -> assertEquals(List.of(), caller.rejections));
    }

    // Guards against a request that asks one limited target after the other until the stack is full.
    @Test
    void requestAsksFewOfManyLimitedTargets() {
        final TestFleet fleet = new TestFleet(1, DOMAINS, 100);
        for (int i = 0; i < 99; i++) {
            limits.put(new TargetId("t" + i), "0.5");
        }
        load(fleet, STREAM, 4_000);
        callers.clear();
        load(fleet, STREAM, 4_000);
        final long refused =
                callers.stream().filter(caller -> !caller.rejections.isEmpty()).count();
        assertEquals(0, refused);
        assertEquals(List.of(), broken);
    }

    // Guards against adapters that are loaded at a target in need for requests that it then does not take.
    @Test
    void adaptersAreNotLoadedAtLimitedTargetsForRequestsWithoutPermit() {
        final TestFleet fleet = new TestFleet(7, DOMAINS, TARGETS);
        final TargetId limited = new TargetId("t0");
        limits.put(limited, "1");
        load(fleet, STREAM, 3_000);
        final int before = fleet.targets.get(limited).loadCount();
        for (int i = 0; i < 600; i++) {
            sendForAdapter(fleet, TestFleet.vm(i % 7), Optional.of(TestFleet.adapter(i)), STEP_MILLIS);
        }
        final int loads = fleet.targets.get(limited).loadCount() - before;
        assertTrue(loads <= 11, loads + " loads in 6 s");
        assertEquals(List.of(), broken);
    }

    // A 421 may come from another target that now has the address.
    @Test
    void misdirectedRequestNamesNoLimit() {
        final TestFleet fleet = plainFleet(1);
        fleet.sendRequest(TestFleet.vm(0), PLAIN, Optional.empty(), 1_000);
        final FakeAttempt misdirected = fleet.lastAttempt();
        misdirected.respondLimited(421, true, "1");
        assertFalse(fleet.vms
                .get(TestFleet.vm(0))
                .core
                .limits()
                .of(misdirected.target())
                .limited());
    }

    // Guards against a limit that is heard of by one VM alone: the others learn it without a response of their own.
    @Test
    void vmsTellEachOtherOfALimitAndOfItsEnd() {
        final TestFleet fleet = plainFleet(95);
        limits.put(FIRST, "1");
        while (limitedMillis.isEmpty()) {
            load(fleet, PLAIN, STEP_MILLIS);
        }
        fleet.advance(400);
        fleet.vms
                .values()
                .forEach(vm -> assertEquals(1, vm.core.limits().of(FIRST).perSecond(), vm.id.value()));
        limits.clear();
        load(fleet, PLAIN, 4_000);
        fleet.advance(400);
        fleet.vms.values().forEach(vm -> assertFalse(vm.core.limits().of(FIRST).limited(), vm.id.value()));
    }

    private static VmId issuer(final TestFleet fleet, final TargetId target) {
        return fleet.vms.values().iterator().next().core.members().firstFor(target.value());
    }

    /** Forgets what a VM was told, as it starts anew. */
    private void forget(final VmId vm) {
        toldMillis.values().forEach(told -> told.remove(vm));
        running.removeIf(attempt -> attempt.from.equals(vm));
    }

    private static long requestsTo(final TestFleet fleet, final TargetId target) {
        return fleet.attempts.stream()
                .filter(attempt -> attempt.target().equals(target))
                .count();
    }

    private static TestFleet plainFleet(final int vms) {
        final TestFleet fleet = new TestFleet(vms, DOMAINS, 0);
        for (int i = 0; i < TARGETS; i++) {
            fleet.announce(fleet.plainTarget(i, false));
        }
        fleet.advance(1_000);
        return fleet;
    }

    /** Sends a request to a random VM in each step; targets respond some time later, and name their limits. */
    private void load(final TestFleet fleet, final String path, final int millis) {
        for (int at = 0; at < millis; at += STEP_MILLIS) {
            final List<VmId> vms = List.copyOf(fleet.vms.keySet());
            callers.add(fleet.sendRequest(vms.get(random.nextInt(vms.size())), path, Optional.empty(), 1_000 + ++sent));
            fleet.advance(STEP_MILLIS);
            respond(fleet);
        }
    }

    private void sendForAdapter(
            final TestFleet fleet, final VmId vm, final Optional<AdapterKey> adapter, final long waitMillis) {
        callers.add(fleet.sendRequest(vm, STREAM, adapter, 1_000 + ++sent));
        fleet.advance(waitMillis);
        respond(fleet);
    }

    private void respond(final TestFleet fleet) {
        final long now = fleet.clock.now(TimeUnit.MILLISECONDS);
        while (seen < fleet.attempts.size()) {
            final FakeAttempt attempt = fleet.attempts.get(seen++);
            sentMillis.put(attempt, now);
            running.addLast(attempt);
            check(attempt, now);
        }
        while (!running.isEmpty() && now - sentMillis.get(running.peekFirst()) >= RESPONSE_MILLIS) {
            final FakeAttempt attempt = running.removeFirst();
            final String limit = limits.get(attempt.target());
            if (limit == null) {
                attempt.respond(200, false);
            } else {
                limitedMillis.putIfAbsent(attempt.target(), now);
                toldMillis
                        .computeIfAbsent(attempt.target(), key -> new HashMap<>())
                        .putIfAbsent(attempt.from, now);
                attempt.respondLimited(200, false, limit);
            }
        }
    }

    /** Counts a request of a VM that was told, and compares those of the last seconds with the limit. */
    private void check(final FakeAttempt attempt, final long now) {
        final Long told = toldMillis.getOrDefault(attempt.target(), Map.of()).get(attempt.from);
        final String limit = limits.get(attempt.target());
        if (limit == null || told == null || now - told < TOLD_AFTER_MILLIS || excused.contains(attempt.from)) {
            return;
        }
        final Deque<Long> span = counted.computeIfAbsent(attempt.target(), key -> new ArrayDeque<>());
        if (now - limitedMillis.getOrDefault(attempt.target(), now) < SETTLED_MILLIS) {
            return;
        }
        span.addLast(now);
        while (now - span.peekFirst() >= SPAN_MILLIS) {
            span.removeFirst();
        }
        final double allowed = OVERAGE * Double.parseDouble(limit) * SPAN_MILLIS / 1e3 + SLACK;
        if (span.size() > allowed) {
            broken.add(attempt.target() + " " + span.size() + " requests at " + now + " ms, allowed " + allowed);
        }
    }
}
