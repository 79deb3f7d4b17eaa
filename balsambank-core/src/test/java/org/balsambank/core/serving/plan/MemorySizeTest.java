package org.balsambank.core.serving.plan;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests amounts of memory. Confined to one thread. */
final class MemorySizeTest {
    // Guards against memory that is left free, or exceeded, as sums of megabytes are rounded.
    @Test
    void sumsOfMegabytesAreExact() {
        MemorySize sum = MemorySize.ZERO;
        for (int i = 0; i < 3; i++) {
            sum = sum.plus(MemorySize.needed(0.1));
        }
        assertEquals(MemorySize.available(0.3), sum);
        assertTrue(MemorySize.needed(0.333_333_34).compareTo(MemorySize.available(0.333_333_34)) > 0);
    }

    // Guards against a configuration that can't be read for a number that no memory has.
    @Test
    void numbersOutOfRangeAreTheNearestAmounts() {
        assertEquals(MemorySize.ZERO, MemorySize.needed(-1));
        assertEquals(MemorySize.ZERO, MemorySize.needed(Double.NaN));
        assertEquals(MemorySize.ZERO, MemorySize.available(Double.NEGATIVE_INFINITY));
        assertEquals(new MemorySize(Long.MAX_VALUE), MemorySize.needed(1e300));
        final MemorySize infinite = MemorySize.available(Double.POSITIVE_INFINITY);
        assertEquals(new MemorySize(Long.MAX_VALUE), infinite);
        assertEquals(infinite, infinite.plus(infinite));
    }
}
