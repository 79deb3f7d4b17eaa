package org.balsambank.core.id;

/**
 * Identifies a base model served by engines.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the name as written in the catalogue
 */
public record BaseModel(String value) implements Comparable<BaseModel> {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public BaseModel {
        Ids.requireNonEmpty(value, "BaseModel");
    }

    @Override
    public int compareTo(final BaseModel other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
