package org.balsambank.core.id;

/**
 * Identifies a lease in the key-value service.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id as returned by the service
 */
public record LeaseId(String value) implements Comparable<LeaseId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public LeaseId {
        Ids.requireNonEmpty(value, "LeaseId");
    }

    @Override
    public int compareTo(final LeaseId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
