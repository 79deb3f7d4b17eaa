package org.balsambank.core.id;

/**
 * Identifies a failure domain.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the name as written in the catalogue, the settings or the VM list
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public FailureDomain {
        Ids.requireNonEmpty(value, "FailureDomain");
    }

    @Override
    public int compareTo(final FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
