package org.balsambank.core.id;

/**
 * Identifies one caller request. Unique in the fleet.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id text
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public RequestId {
        Ids.requireNonEmpty(value, "RequestId");
    }

    @Override
    public int compareTo(final RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
