package org.balsambank.core.id;

/**
 * Identifies an API key by a prefix of its salted hash, which does not reveal the key.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the first characters of the hash, in hexadecimal
 */
public record KeyId(String value) implements Comparable<KeyId> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public KeyId {
        Ids.requireNonEmpty(value, "KeyId");
    }

    @Override
    public int compareTo(final KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
