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
 * Tests where requests go under the loads that the modules of choice name, in virtual time. Confined to one thread.
 */
final class TargetChooserLoadTest {
    private static final int VMS = 3;
    private static final int RUNNERS = 6;
    private static final int REQUESTS = 600;
    private static final int ADAPTERS = 60;
    private static final long PROMPT_TOKENS = 2_400;
    private static final long READ_MILLIS = 125;

    private final TestFleet fleet = new TestFleet(VMS, RUNNERS);
    private final SplittableRandom random = new SplittableRandom(7);

    /** A few adapters get most requests and most are rare: on average at most one further copy, and
     * fewer than a random choice would make. */
    @Test
    void fewAdaptersAreFetchedToMoreThanOneTarget() {
        final Map<AdapterKey, Set<TargetId>> fetched = new HashMap<>();
        final Map<AdapterKey, Set<TargetId>> baseline = new HashMap<>();
        final Deque<FakeAttempt> reading = new ArrayDeque<>();
        final Deque<FakeAttempt> running = new ArrayDeque<>();
        for (int i = 0; i < REQUESTS; i++) {
            while (reading.size() > 1) {
                reading.peekFirst().begin();
                running.addLast(reading.removeFirst());
            }
            final AdapterKey adapter = TestFleet.adapter(zipf());
            final int before = fleet.sends.size();
            fleet.call(TestFleet.vm(i % VMS), "/stream/", Optional.of(adapter), PROMPT_TOKENS);
            fleet.advance(60);
            fleet.sends.subList(before, fleet.sends.size()).forEach(reading::addLast);
            if (running.size() > 2) {
                running.removeFirst().end(AttemptEnd.COMPLETE);
            }
            fleet.runners.forEach((target, runner) -> runner.held()
                    .forEach(held -> fetched.computeIfAbsent(held, key -> new HashSet<>())
                            .add(target)));
            baseline.computeIfAbsent(adapter, key -> new HashSet<>()).add(new TargetId("t" + random.nextInt(RUNNERS)));
        }
        final int pairs = fetched.values().stream().mapToInt(Set::size).sum();
        final int random = baseline.values().stream().mapToInt(Set::size).sum();
        assertTrue(pairs <= 2 * fetched.size(), pairs + " pairs for " + fetched.size() + " adapters");
        assertTrue(pairs < random, pairs + " pairs, at random " + random);
    }

    /** One adapter gets more than a target can read in time: it spreads before its requests are late. */
    @Test
    void aHotAdapterSpreadsToFurtherTargets() {
        final Set<TargetId> used = new HashSet<>();
        final Deque<FakeAttempt> running = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            final int before = fleet.sends.size();
            fleet.call(TestFleet.vm(i % VMS), "/stream/", Optional.of(TestFleet.adapter(1)), PROMPT_TOKENS);
            fleet.advance(READ_MILLIS / 2);
            fleet.sends.subList(before, fleet.sends.size()).forEach(running::addLast);
            if (i % 2 == 0 && !running.isEmpty()) {
                running.removeFirst().answer(200, false);
            }
        }
        fleet.sends.forEach(send -> used.add(send.target()));
        assertTrue(used.size() >= 3, "targets " + used);
    }

    /** A target that fails while its announcement is good gets little. */
    @Test
    void aTargetThatFailsIsAvoided() {
        for (int i = 0; i < 4; i++) {
            fleet.announce(fleet.plain(i, false));
        }
        fleet.advance(1_000);
        final TargetId grey = new TargetId("p1");
        int toGrey = 0;
        for (int i = 0; i < 400; i++) {
            fleet.call(TestFleet.vm(0), "/unsafe/", Optional.empty(), 10);
            final FakeAttempt send = fleet.lastSend();
            toGrey += send.target().equals(grey) ? 1 : 0;
            send.answer(send.target().equals(grey) ? 500 : 200, false);
            fleet.advance(10);
        }
        assertTrue(toGrey < 40, "sends to the target that fails: " + toGrey + " of 400");
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
