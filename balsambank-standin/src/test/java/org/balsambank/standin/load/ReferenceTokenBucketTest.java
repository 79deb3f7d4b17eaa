package org.balsambank.standin.load;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the reference token bucket. */
class ReferenceTokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void allowsBurstThenRate() {
        final ReferenceTokenBucket bucket = new ReferenceTokenBucket(new RateLimit(RateUnit.REQUESTS, 2, 3), 0);
        for (int i = 0; i < 3; i++) {
            assertTrue(bucket.tryConsume(0, 1));
        }
        assertFalse(bucket.tryConsume(0, 1));
        assertTrue(bucket.tryConsume(SECOND / 2, 1));
        assertFalse(bucket.tryConsume(SECOND / 2, 1));
    }

    @Test
    void levelNeverExceedsBurst() {
        final ReferenceTokenBucket bucket = new ReferenceTokenBucket(new RateLimit(RateUnit.REQUESTS, 2, 3), 0);
        for (int i = 0; i < 3; i++) {
            assertTrue(bucket.tryConsume(100 * SECOND, 1));
        }
        assertFalse(bucket.tryConsume(100 * SECOND, 1));
    }

    @Test
    void consumesTokensIfRateCountsTokens() {
        final ReferenceTokenBucket bucket = new ReferenceTokenBucket(new RateLimit(RateUnit.TOKENS, 10, 50), 0);
        assertTrue(bucket.tryConsume(0, 50));
        assertFalse(bucket.tryConsume(SECOND, 11));
        assertTrue(bucket.tryConsume(SECOND, 10));
    }
}
