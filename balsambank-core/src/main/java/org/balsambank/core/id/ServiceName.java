package org.balsambank.core.id;

/**
 * Identifies a plain service, which is not a model engine.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the name as written in the catalogue
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public ServiceName {
        Ids.requireNonEmpty(value, "ServiceName");
    }

    @Override
    public int compareTo(final ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
