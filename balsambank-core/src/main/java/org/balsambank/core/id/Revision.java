package org.balsambank.core.id;

/**
 * A revision of the catalogue. Later states of the catalogue have higher revisions.
 *
 * <p>Immutable and thread-safe. The value is never negative.
 *
 * @param value the revision number
 */
public record Revision(long value) implements Comparable<Revision> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    public Revision {
        Ids.requireNotNegative(value, "Revision");
    }

    @Override
    public int compareTo(final Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
