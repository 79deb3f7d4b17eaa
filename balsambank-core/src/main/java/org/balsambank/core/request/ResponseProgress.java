package org.balsambank.core.request;

/**
 * What of an answer was passed on so far, over all attempts of a request.
 *
 * <p>Invariant: the numbers never go down. Confined to the decision loop.
 */
final class ResponseProgress {
    private boolean headPassed;
    private long bytes;
    private long tokens;
    private long reportedTotal;

    /** Notes that the head was passed on. */
    void headPassed() {
        headPassed = true;
    }

    /**
     * Notes that bytes of the body were passed on.
     *
     * @param count the number of bytes
     */
    void passed(final long count) {
        bytes += count;
    }

    /**
     * Notes that tokens were passed on.
     *
     * @param count the number of tokens
     */
    void tokens(final long count) {
        tokens += count;
    }

    /**
     * Notes what the target reports as used.
     *
     * @param total the tokens of prompt and answer
     */
    void reported(final long total) {
        reportedTotal = Math.max(reportedTotal, total);
    }

    /**
     * Tells whether a part of the answer was passed on.
     *
     * @return true once the head was passed on
     */
    boolean started() {
        return headPassed;
    }

    /**
     * Returns how many bytes of the body were passed on.
     *
     * @return the number of bytes
     */
    long bytes() {
        return bytes;
    }

    /**
     * Returns how many tokens were passed on.
     *
     * @return the number of tokens
     */
    long tokens() {
        return tokens;
    }

    /**
     * Returns the tokens of prompt and answer that the target reported.
     *
     * @return the number, or 0 if it reported none
     */
    long reportedTotal() {
        return reportedTotal;
    }
}
