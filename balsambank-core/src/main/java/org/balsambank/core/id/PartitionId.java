package org.balsambank.core.id;

/**
 * Identifies an ownership partition. Each decision that needs a single owner belongs to one partition.
 *
 * <p>Immutable and thread-safe. The value is never negative.
 *
 * @param value the partition number
 */
public record PartitionId(int value) implements Comparable<PartitionId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    public PartitionId {
        Ids.requireNotNegative(value, "PartitionId");
    }

    @Override
    public int compareTo(final PartitionId other) {
        return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
