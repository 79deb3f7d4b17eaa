package org.balsambank.core.id;

/**
 * Identifies a call that must run at most once. Chosen by the caller.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the key as sent by the caller
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public IdempotencyKey {
        Ids.requireNonEmpty(value, "IdempotencyKey");
    }

    @Override
    public int compareTo(final IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
