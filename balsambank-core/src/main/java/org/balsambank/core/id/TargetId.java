package org.balsambank.core.id;

/**
 * Identifies a target, which is a model runner or an application runner.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id as written in the catalogue
 */
public record TargetId(String value) implements Comparable<TargetId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public TargetId {
        Ids.requireNonEmpty(value, "TargetId");
    }

    @Override
    public int compareTo(final TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
