package org.balsambank.core.port;

/**
 * Recognizes the statuses that HTTP has.
 *
 * <p>Decoders parse a status leniently: a sign, further digits and leading zeros are read as a number, and a status of
 * fewer digits is accepted. A response with such a status is not one that its target meant to send. Immutable and
 * thread-safe.
 */
public final class ResponseStatus {
    private static final int DIGITS = 3;
    private static final char FIRST_CLASS = '1';
    private static final char LAST_CLASS = '5';

    private ResponseStatus() {}

    /**
     * Returns whether a status, as received, is valid.
     *
     * @param status the status without the spaces around it
     * @return true for three digits from 100 to 599
     */
    public static boolean valid(final String status) {
        return status.length() == DIGITS
                && status.charAt(0) >= FIRST_CLASS
                && status.charAt(0) <= LAST_CLASS
                && digit(status.charAt(1))
                && digit(status.charAt(2));
    }

    private static boolean digit(final char character) {
        return character >= '0' && character <= '9';
    }
}
