package org.balsambank.core.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that all VMs together keep the limit that a target names in its responses, in virtual time. Confined to one
 * thread.
 */
final class FleetLimitTest {
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
    private int seen;
    private int sent;

    // Guards against LIMIT: all VMs together send a target more requests a second than it has named in its responses.
    @ParameterizedTest
    @Tag("known-red")
    @CsvSource({"7,0.5", "7,1", "7,8", "72,0.5", "72,1", "72,8", "95,0.5", "95,1", "95,8"})
    void targetGetsNoMoreThanItsLimitFromAllVmsTogether(final int vms, final String perSecond) {
        final TestFleet fleet = plainFleet(vms);
        load(fleet, "/unsafe/", 1_000);
        limits.put(FIRST, perSecond);
        load(fleet, "/unsafe/", 12_000);
        assertTrue(
                broken.isEmpty(),
                broken.size() + " times, first " + broken.stream().findFirst().orElse(""));
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
            fleet.sendRequest(vms.get(random.nextInt(vms.size())), path, Optional.empty(), 1_000 + ++sent);
            fleet.advance(STEP_MILLIS);
            respond(fleet);
        }
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
        if (limit == null || told == null || now - told < TOLD_AFTER_MILLIS) {
            return;
        }
        final Deque<Long> span = counted.computeIfAbsent(attempt.target(), key -> new ArrayDeque<>());
        if (now - limitedMillis.get(attempt.target()) < SETTLED_MILLIS) {
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
