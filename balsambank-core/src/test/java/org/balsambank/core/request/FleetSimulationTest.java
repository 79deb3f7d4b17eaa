package org.balsambank.core.request;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Runs the fleet simulation with several seeds. Confined to one thread. */
final class FleetSimulationTest {
    private static final int CALLS = 2_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void nothingRunsTwiceAndNotRunErrorsAreCorrect(final long seed) {
        check(seed, false, Duration.ofMinutes(10));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void nothingRunsTwiceWithRealOwnership(final long seed) {
        check(seed, true, Duration.ofMinutes(5));
    }

    @ParameterizedTest
    @ValueSource(longs = 6)
    void allCallsCompleteWithoutFaults(final long seed) {
        final FleetSimulation fleet = new FleetSimulation(seed, false);
        fleet.run(CALLS, Duration.ofMinutes(2), false);
        assertEquals(CALLS, fleet.answered, fleet.outcomes.toString());
        assertEquals(List.of(), fleet.ranTwice);
    }

    private static void check(final long seed, final boolean realOwnership, final Duration span) {
        final FleetSimulation fleet = new FleetSimulation(seed, realOwnership);
        fleet.run(CALLS, span, true);
        System.out.println("seed=" + seed + " calls=" + CALLS + " answered=" + fleet.answered + " ran_twice="
                + fleet.ranTwice.size() + " false_not_run=" + fleet.falseNotRun.size() + " errors=" + fleet.outcomes);
        assertEquals(List.of(), fleet.ranTwice);
        assertEquals(List.of(), fleet.falseNotRun);
        assertEquals(List.of(), fleet.invariants.violations());
        assertEquals(Set.of(), fleet.undecided);
        assertEquals(List.of(), fleet.unanswered, "requests that a running VM never completed");
    }
}
