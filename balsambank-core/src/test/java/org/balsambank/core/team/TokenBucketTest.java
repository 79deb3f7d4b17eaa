package org.balsambank.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the token bucket. Confined to one thread. */
final class TokenBucketTest {
    private static final RateLimit LIMIT = new RateLimit(RateUnit.REQUESTS, 10, 5);
    private static final double TOLERANCE = 1e-6;

    @Test
    void delayUntilMatchesTheTimeWhenUnitsAreAvailable() {
        final TokenBucket bucket = new TokenBucket(LIMIT, LIMIT.burst(), 0);
        assertTrue(bucket.take(5, 0));
        assertFalse(bucket.take(1, 0));
        final Duration delay = bucket.delayUntil(1, 0);
        assertEquals(Duration.ofMillis(100), delay);
        assertFalse(bucket.take(1, delay.toNanos() / 2));
        assertTrue(bucket.take(1, delay.toNanos()));
    }

    @Property(seed = "11", tries = 200)
    void noWindowExceedsRateTimesTimePlusBurst(@ForAll final long seed) {
        final Random random = new Random(seed);
        final TokenBucket bucket = new TokenBucket(LIMIT, LIMIT.burst(), 0);
        final List<double[]> taken = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 100; i++) {
            now += random.nextInt(200_000_000);
            final double units = random.nextDouble() * 3;
            if (bucket.take(units, now)) {
                taken.add(new double[] {now / 1e9, units});
            }
        }
        for (int from = 0; from < taken.size(); from++) {
            double sum = 0;
            for (int to = from; to < taken.size(); to++) {
                sum += taken.get(to)[1];
                final double seconds = taken.get(to)[0] - taken.get(from)[0];
                assertTrue(sum <= seconds * LIMIT.perSecond() + LIMIT.burst() + TOLERANCE);
            }
        }
    }
}
