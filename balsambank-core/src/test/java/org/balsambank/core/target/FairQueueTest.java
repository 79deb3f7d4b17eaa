package org.balsambank.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.TeamId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the fair queue against a reference implementation and for weighted shares. */
class FairQueueTest {
    private static final long SEED = 20_261_204;
    private static final int STEPS = 20_000;
    private static final int TEAMS = 5;

    @Test
    void dequeuesInTheOrderOfTheReferenceQueue() {
        final Random random = new Random(SEED);
        final FairQueue<Integer> queue = new FairQueue<>();
        final NaiveFairQueue reference = new NaiveFairQueue();
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(10) < 5) {
                final TrafficClass trafficClass = TrafficClass.values()[random.nextInt(3)];
                final int team = random.nextInt(TEAMS);
                queue.add(trafficClass, team(team), 1 + team, step);
                reference.add(trafficClass, team(team), 1 + team, step);
            } else {
                final int residue = random.nextInt(4);
                final Predicate<Integer> ready = number -> number % 4 != residue;
                assertEquals(reference.poll(ready), queue.poll(ready), "step " + step);
            }
        }
    }

    @Test
    void sharesByWeightWithoutStarvation() {
        final FairQueue<Integer> queue = new FairQueue<>();
        for (int i = 0; i < 200; i++) {
            for (final TrafficClass trafficClass : TrafficClass.values()) {
                queue.add(trafficClass, team(0), 1, 100 * i + 10 * trafficClass.ordinal());
                queue.add(trafficClass, team(1), 3, 100 * i + 10 * trafficClass.ordinal() + 1);
            }
        }
        final Map<Integer, Integer> served = new HashMap<>();
        for (int i = 0; i < 280; i++) {
            served.merge(poll(queue) % 100, 1, Integer::sum);
        }
        assertEquals(Map.of(0, 40, 1, 120, 10, 20, 11, 60, 20, 10, 21, 30), served);
    }

    @Test
    void backloggedTeamDelaysOthersByAtMostOneRequest() {
        final FairQueue<Integer> queue = new FairQueue<>();
        for (int i = 0; i < 1_000; i++) {
            queue.add(TrafficClass.NORMAL, team(0), 1, -i);
        }
        poll(queue);
        queue.add(TrafficClass.NORMAL, team(1), 1, 5_000);
        assertTrue(poll(queue) + poll(queue) > 0);
    }

    private static int poll(final FairQueue<Integer> queue) {
        final Optional<Integer> next = queue.poll(number -> true);
        return next.orElseThrow();
    }

    private static TeamId team(final int number) {
        return new TeamId("team-" + number);
    }
}
