package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.Random;
import java.util.Set;

import org.balsambank.core.serving.target.InFlightRequests;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what is learned of engines of many speeds. Confined to one thread. */
final class EngineLatencyModelTest {
    private static final int SEEDS = 200;
    private static final int ANSWERS = 150;
    private static final double MOST_ERROR = 0.25;

    @Test
    void theEstimateIsWithinAQuarterAfterAHundredAndFiftyAnswersOfAnyEngine() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final Random random = new Random(seed);
            final double rate = 5 * Math.pow(16, random.nextDouble());
            final EngineLatencyModel model = new EngineLatencyModel();
            for (int i = 0; i < ANSWERS; i++) {
                answer(model, rate, random, 0.8 + 0.4 * random.nextDouble());
            }
            assertNear(rate, model, seed);
        }
    }

    @Test
    void oneOfThirteenTargetsThatIsTenTimesSlowerMovesTheEstimateLittle() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final Random random = new Random(seed);
            final double rate = 5 * Math.pow(16, random.nextDouble());
            final EngineLatencyModel model = new EngineLatencyModel();
            for (int i = 0; i < 4 * ANSWERS; i++) {
                answer(model, rate, random, random.nextInt(13) == 0 ? 10 : 1);
            }
            final double expected = 8_000 / rate;
            final double estimate = model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, 8_000);
            assertTrue(estimate < 1.4 * expected, "seed " + seed + ": " + estimate + " for " + expected);
        }
    }

    @Test
    void nonsenseChangesNothing() {
        final EngineLatencyModel model = new EngineLatencyModel();
        final double before = model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, 2_000);
        model.observe(InFlightRequests.Usage.NONE, 2_000, Double.NaN);
        model.observe(InFlightRequests.Usage.NONE, 2_000, -1);
        model.observe(new InFlightRequests.Usage(0, -9_000, Set.of()), 2_000, 10);
        assertEquals(before, model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, 2_000));
    }

    /** The load pattern: prompts come to a target while it writes streams whose pauses are bounded. */
    @Test
    void moreIsSentAheadToAFasterEngineAndLessWhereShorterPausesCount() {
        final EngineLatencyModel slow = learned(10);
        final EngineLatencyModel fast = learned(60);
        final InFlightRequests.Usage busy = new InFlightRequests.Usage(3, 5_000, Set.of());
        assertTrue(PrefillPacing.delay(slow, busy, 2_000, 400).toMillis() > 200);
        assertEquals(Duration.ZERO, PrefillPacing.delay(fast, busy, 2_000, 400));
        assertTrue(PrefillPacing.delay(fast, busy, 2_000, 100).toMillis() > 30);
    }

    /** The load pattern: long prompts queue up on engines that are faster or slower than usual. */
    @Test
    void timeInTimeIsToldFromTimeTooLateOnEachEngine() {
        for (final double rate : new double[] {5, 10, 40, 80}) {
            final EngineLatencyModel model = learned(rate);
            final long tokens = Math.round(rate * 900);
            final double loss =
                    ExpectedCost.ofTime(model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, tokens), 1_000);
            final double early =
                    ExpectedCost.ofTime(model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, tokens / 4), 1_000);
            assertTrue(loss > 0.25, rate + " tokens a millisecond: " + loss);
            assertTrue(early < 0.1, rate + " tokens a millisecond: " + early);
        }
    }

    private static EngineLatencyModel learned(final double rate) {
        final EngineLatencyModel model = new EngineLatencyModel();
        final Random random = new Random(1);
        for (int i = 0; i < 2 * ANSWERS; i++) {
            answer(model, rate, random, 1);
        }
        return model;
    }

    private static void answer(
            final EngineLatencyModel model, final double rate, final Random random, final double slowness) {
        final int requests = random.nextInt(20);
        final long ahead = random.nextInt(3) * (long) random.nextInt(6_000);
        final long prompt = 300 + random.nextInt(9_000);
        final double step = 240 / rate * (1 + requests / 30.0);
        final InFlightRequests.Usage use = new InFlightRequests.Usage(requests, ahead, Set.of());
        model.observe(use, prompt, slowness * (step + (ahead + prompt) / rate));
    }

    private static void assertNear(final double rate, final EngineLatencyModel model, final int seed) {
        for (final long tokens : new long[] {2_000, 9_000}) {
            final double expected = 240 / rate + tokens / rate;
            final double estimate = model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, tokens);
            assertEquals(expected, estimate, expected * MOST_ERROR, "seed " + seed + ", rate " + rate);
        }
    }
}
