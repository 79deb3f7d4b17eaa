package org.balsambank.core.serving.plan;

import java.math.BigDecimal;
import java.math.RoundingMode;

/**
 * An amount of memory.
 *
 * <p>Invariant: sums of sizes that were given in decimal megabytes are exact to the byte, so that what fits exactly is
 * not taken for too large. Immutable and thread-safe.
 *
 * @param bytes the amount, in bytes, not negative
 */
public record MemorySize(long bytes) implements Comparable<MemorySize> {
    /** No memory. */
    public static final MemorySize ZERO = new MemorySize(0);

    private static final int MEGABYTE_DIGITS = 6;

    /** Checks the amount. */
    public MemorySize {
        if (bytes < 0) {
            throw new IllegalArgumentException("a negative amount of memory: " + bytes);
        }
    }

    /**
     * Returns what something needs.
     *
     * @param megabytes the need, in units of a million bytes; a negative one, or one that is no number, counts as none
     * @return the need, rounded up to a byte
     */
    public static MemorySize needed(final double megabytes) {
        return of(megabytes, RoundingMode.CEILING);
    }

    /**
     * Returns what something has room for.
     *
     * @param megabytes the room, in units of a million bytes; a negative one, or one that is no number, counts as none
     * @return the room, rounded down to a byte
     */
    public static MemorySize available(final double megabytes) {
        return of(megabytes, RoundingMode.FLOOR);
    }

    private static MemorySize of(final double megabytes, final RoundingMode rounding) {
        if (!(megabytes > 0)) {
            return ZERO;
        }
        final BigDecimal bytes = BigDecimal.valueOf(Math.min(megabytes, Double.MAX_VALUE))
                .movePointRight(MEGABYTE_DIGITS)
                .setScale(0, rounding);
        return new MemorySize(bytes.min(BigDecimal.valueOf(Long.MAX_VALUE)).longValue());
    }

    /**
     * Adds an amount.
     *
     * @param other the other amount
     * @return the sum, at most the largest amount that can be represented
     */
    public MemorySize plus(final MemorySize other) {
        final long sum = bytes + other.bytes;
        return new MemorySize(sum < 0 ? Long.MAX_VALUE : sum);
    }

    @Override
    public int compareTo(final MemorySize other) {
        return Long.compare(bytes, other.bytes);
    }
}
