package org.balsambank.core.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.request.AttemptEnd;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests the choice of targets under the loads that the classes of the choice package are designed for, in virtual time.
 * Confined to one thread.
 */
final class TargetChooserLoadTest {
    private static final int VMS = 3;
    private static final int TARGETS = 6;
    private static final int REQUESTS = 600;
    private static final int ADAPTERS = 60;
    private static final long PROMPT_TOKENS = 2_400;
    private static final long PROCESSING_MILLIS = 125;

    private final TestFleet fleet = new TestFleet(VMS, TARGETS);
    private final SplittableRandom random = new SplittableRandom(7);

    /**
     * With a skewed distribution of adapters, there is on average at most one additional copy per adapter, and fewer
     * copies than with a random choice of targets.
     */
    @Test
    void fewAdaptersAreLoadedAtMoreThanOneTarget() {
        final Map<AdapterKey, Set<TargetId>> loadedAt = new HashMap<>();
        final Map<AdapterKey, Set<TargetId>> baseline = new HashMap<>();
        final Deque<FakeAttempt> prefilling = new ArrayDeque<>();
        final Deque<FakeAttempt> running = new ArrayDeque<>();
        for (int i = 0; i < REQUESTS; i++) {
            while (prefilling.size() > 1) {
                prefilling.peekFirst().startResponse();
                running.addLast(prefilling.removeFirst());
            }
            final AdapterKey adapter = TestFleet.adapter(zipf());
            final int before = fleet.attempts.size();
            fleet.sendRequest(TestFleet.vm(i % VMS), "/stream/", Optional.of(adapter), PROMPT_TOKENS);
            fleet.advance(60);
            fleet.attempts.subList(before, fleet.attempts.size()).forEach(prefilling::addLast);
            if (running.size() > 2) {
                running.removeFirst().end(AttemptEnd.COMPLETE);
            }
            fleet.targets.forEach(
                    (target, fakeTarget) -> fakeTarget.resident().forEach(resident -> loadedAt.computeIfAbsent(
                                    resident, key -> new HashSet<>())
                            .add(target)));
            baseline.computeIfAbsent(adapter, key -> new HashSet<>()).add(new TargetId("t" + random.nextInt(TARGETS)));
        }
        final int pairs = loadedAt.values().stream().mapToInt(Set::size).sum();
        final int randomPairs = baseline.values().stream().mapToInt(Set::size).sum();
        assertTrue(pairs <= 2 * loadedAt.size(), pairs + " pairs for " + loadedAt.size() + " adapters");
        assertTrue(pairs < randomPairs, pairs + " pairs, with a random choice " + randomPairs);
    }

    /**
     * If one adapter gets more prompts than one target can process in time, it is loaded at further targets before its
     * requests miss their objective.
     */
    @Test
    void hotAdapterIsLoadedAtFurtherTargets() {
        final Set<TargetId> used = new HashSet<>();
        final Deque<FakeAttempt> running = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            final int before = fleet.attempts.size();
            fleet.sendRequest(TestFleet.vm(i % VMS), "/stream/", Optional.of(TestFleet.adapter(1)), PROMPT_TOKENS);
            fleet.advance(PROCESSING_MILLIS / 2);
            fleet.attempts.subList(before, fleet.attempts.size()).forEach(running::addLast);
            if (i % 2 == 0 && !running.isEmpty()) {
                running.removeFirst().respond(200, false);
            }
        }
        fleet.attempts.forEach(attempt -> used.add(attempt.target()));
        assertTrue(used.size() >= 3, "targets " + used);
    }

    /** A target that fails requests while it announces itself as healthy gets few requests. */
    @Test
    void failingTargetIsAvoided() {
        for (int i = 0; i < 4; i++) {
            fleet.announce(fleet.plainTarget(i, false));
        }
        fleet.advance(1_000);
        final TargetId failing = new TargetId("p1");
        int toFailing = 0;
        for (int i = 0; i < 400; i++) {
            fleet.sendRequest(TestFleet.vm(0), "/unsafe/", Optional.empty(), 10);
            final FakeAttempt attempt = fleet.lastAttempt();
            toFailing += attempt.target().equals(failing) ? 1 : 0;
            attempt.respond(attempt.target().equals(failing) ? 500 : 200, false);
            fleet.advance(10);
        }
        assertTrue(toFailing < 40, "requests to the failing target: " + toFailing + " of 400");
    }

    private int zipf() {
        final double total = harmonic(ADAPTERS);
        double rest = random.nextDouble() * total;
        for (int rank = 1; rank < ADAPTERS; rank++) {
            rest -= Math.pow(rank, -1.2);
            if (rest < 0) {
                return rank;
            }
        }
        return ADAPTERS;
    }

    private static double harmonic(final int count) {
        double sum = 0;
        for (int rank = 1; rank <= count; rank++) {
            sum += Math.pow(rank, -1.2);
        }
        return sum;
    }
}
