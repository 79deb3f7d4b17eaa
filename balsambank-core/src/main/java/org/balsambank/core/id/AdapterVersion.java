package org.balsambank.core.id;

/**
 * Identifies a version of an adapter.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the version as written in the catalogue
 */
public record AdapterVersion(String value) implements Comparable<AdapterVersion> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public AdapterVersion {
        Ids.requireNonEmpty(value, "AdapterVersion");
    }

    @Override
    public int compareTo(final AdapterVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
