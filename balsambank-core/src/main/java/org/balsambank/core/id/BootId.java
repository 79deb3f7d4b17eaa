package org.balsambank.core.id;

/**
 * Identifies one run of an engine process. Changes when the engine restarts.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id as reported by the engine
 */
public record BootId(String value) implements Comparable<BootId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public BootId {
        Ids.requireNonEmpty(value, "BootId");
    }

    @Override
    public int compareTo(final BootId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
