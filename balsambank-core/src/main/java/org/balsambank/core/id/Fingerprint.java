package org.balsambank.core.id;

/**
 * Identifies the content of a request. Retries of the same request have the same fingerprint.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the fingerprint text
 */
public record Fingerprint(String value) implements Comparable<Fingerprint> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public Fingerprint {
        Ids.requireNonEmpty(value, "Fingerprint");
    }

    @Override
    public int compareTo(final Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
