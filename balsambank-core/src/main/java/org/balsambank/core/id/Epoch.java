package org.balsambank.core.id;

/**
 * The ownership epoch of a partition. Each new owner has a higher epoch, which is the fencing number of its orders.
 *
 * <p>Immutable and thread-safe. The value is never negative.
 *
 * @param value the epoch number
 */
public record Epoch(long value) implements Comparable<Epoch> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    public Epoch {
        Ids.requireNotNegative(value, "Epoch");
    }

    @Override
    public int compareTo(final Epoch other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
