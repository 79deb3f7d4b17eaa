package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.Random;
import java.util.Set;

import org.balsambank.core.serving.target.InFlightRequests;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the fit of the model for engines of different speeds. Confined to one thread. */
final class EngineLatencyModelTest {
    private static final int SEEDS = 200;
    private static final int MEASUREMENTS = 150;
    private static final double MAX_ERROR = 0.25;

    @Test
    void estimateIsWithinAQuarterAfter150MeasurementsOfAnyEngine() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final Random random = new Random(seed);
            final double tokensPerMilli = 5 * Math.pow(16, random.nextDouble());
            final EngineLatencyModel model = new EngineLatencyModel();
            for (int i = 0; i < MEASUREMENTS; i++) {
                measure(model, tokensPerMilli, random, 0.8 + 0.4 * random.nextDouble());
            }
            assertNear(tokensPerMilli, model, seed);
        }
    }

    @Test
    void oneOfThirteenTargetsBeingTenTimesSlowerHasLittleEffect() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final Random random = new Random(seed);
            final double tokensPerMilli = 5 * Math.pow(16, random.nextDouble());
            final EngineLatencyModel model = new EngineLatencyModel();
            for (int i = 0; i < 4 * MEASUREMENTS; i++) {
                measure(model, tokensPerMilli, random, random.nextInt(13) == 0 ? 10 : 1);
            }
            final double expected = 8_000 / tokensPerMilli;
            final double estimate = model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, 8_000);
            assertTrue(estimate < 1.4 * expected, "seed " + seed + ": " + estimate + " for " + expected);
        }
    }

    @Test
    void invalidMeasurementsAreIgnored() {
        final EngineLatencyModel model = new EngineLatencyModel();
        final double before = model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, 2_000);
        model.observe(InFlightRequests.Usage.NONE, 2_000, Double.NaN);
        model.observe(InFlightRequests.Usage.NONE, 2_000, -1);
        model.observe(new InFlightRequests.Usage(0, -9_000, Set.of()), 2_000, 10);
        assertEquals(before, model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, 2_000));
    }

    /** Prompts arrive at a target while it writes streams with a limit on their pauses. */
    @Test
    void fasterEnginesGetMorePromptsAheadAndTighterPausesFewer() {
        final EngineLatencyModel slow = fitted(10);
        final EngineLatencyModel fast = fitted(60);
        final InFlightRequests.Usage busy = new InFlightRequests.Usage(3, 5_000, Set.of());
        assertTrue(PrefillPacing.delay(slow, busy, 2_000, 400).toMillis() > 200);
        assertEquals(Duration.ZERO, PrefillPacing.delay(fast, busy, 2_000, 400));
        assertTrue(PrefillPacing.delay(fast, busy, 2_000, 100).toMillis() > 30);
    }

    /** Long prompts queue up at engines that are faster or slower than the prior. */
    @Test
    void costSeparatesTimelyFromLateRequestsOnEachEngine() {
        for (final double tokensPerMilli : new double[] {5, 10, 40, 80}) {
            final EngineLatencyModel model = fitted(tokensPerMilli);
            final long tokens = Math.round(tokensPerMilli * 900);
            final double late =
                    ExpectedCost.ofTime(model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, tokens), 1_000);
            final double early =
                    ExpectedCost.ofTime(model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, tokens / 4), 1_000);
            assertTrue(late > 0.25, tokensPerMilli + " tokens per millisecond: " + late);
            assertTrue(early < 0.1, tokensPerMilli + " tokens per millisecond: " + early);
        }
    }

    private static EngineLatencyModel fitted(final double tokensPerMilli) {
        final EngineLatencyModel model = new EngineLatencyModel();
        final Random random = new Random(1);
        for (int i = 0; i < 2 * MEASUREMENTS; i++) {
            measure(model, tokensPerMilli, random, 1);
        }
        return model;
    }

    private static void measure(
            final EngineLatencyModel model, final double tokensPerMilli, final Random random, final double slowness) {
        final int requests = random.nextInt(20);
        final long pendingTokens = random.nextInt(3) * (long) random.nextInt(6_000);
        final long promptTokens = 300 + random.nextInt(9_000);
        final double step = 240 / tokensPerMilli * (1 + requests / 30.0);
        final InFlightRequests.Usage usage = new InFlightRequests.Usage(requests, pendingTokens, Set.of());
        model.observe(usage, promptTokens, slowness * (step + (pendingTokens + promptTokens) / tokensPerMilli));
    }

    private static void assertNear(final double tokensPerMilli, final EngineLatencyModel model, final int seed) {
        for (final long tokens : new long[] {2_000, 9_000}) {
            final double expected = 240 / tokensPerMilli + tokens / tokensPerMilli;
            final double estimate = model.timeToFirstChunkMillis(InFlightRequests.Usage.NONE, tokens);
            assertEquals(expected, estimate, expected * MAX_ERROR, "seed " + seed + ", rate " + tokensPerMilli);
        }
    }
}
