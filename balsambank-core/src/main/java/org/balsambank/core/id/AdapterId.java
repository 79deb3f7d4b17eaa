package org.balsambank.core.id;

/**
 * Identifies an adapter, without its version.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id as written in the catalogue
 */
public record AdapterId(String value) implements Comparable<AdapterId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public AdapterId {
        Ids.requireNonEmpty(value, "AdapterId");
    }

    @Override
    public int compareTo(final AdapterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
