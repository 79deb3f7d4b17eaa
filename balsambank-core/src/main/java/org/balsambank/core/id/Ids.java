package org.balsambank.core.id;

/**
 * Argument checks shared by the id types.
 *
 * <p>Stateless and thread-safe.
 */
final class Ids {
    private Ids() {}

    /**
     * Checks that the text of an id is neither null nor empty.
     *
     * @param value the text of the id
     * @param type the name of the id type, for the message
     * @throws IllegalArgumentException if the text is null or empty
     */
    static void requireNonEmpty(final String value, final String type) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(type + " is empty");
        }
    }

    /**
     * Checks that a number is not negative.
     *
     * @param value the number
     * @param type the name of the id type, for the message
     * @throws IllegalArgumentException if the number is negative
     */
    static void requireNotNegative(final long value, final String type) {
        if (value < 0) {
            throw new IllegalArgumentException(type + " is negative: " + value);
        }
    }
}
