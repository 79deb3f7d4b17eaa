package org.balsambank.core.id;

/**
 * Identifies a part of a prompt that several requests may share.
 *
 * <p>Immutable and thread-safe. The value is never empty.
 *
 * @param value the id in the form in which VMs compare it
 */
public record PromptPartId(String value) {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public PromptPartId {
        Ids.requireNonEmpty(value, "PromptPartId");
    }

    @Override
    public String toString() {
        return value;
    }
}
