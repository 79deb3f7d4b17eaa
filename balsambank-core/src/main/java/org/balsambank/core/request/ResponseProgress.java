package org.balsambank.core.request;

/**
 * The part of a response forwarded to the caller so far, over all attempts of a request.
 *
 * <p>Invariant: the counts never decrease. Confined to the decision loop.
 */
final class ResponseProgress {
    private boolean headForwarded;
    private long bytes;
    private long tokens;
    private long reportedTokens;

    /** Records that the head was forwarded. */
    void headForwarded() {
        headForwarded = true;
    }

    /**
     * Records that bytes of the body were forwarded.
     *
     * @param count the number of bytes
     */
    void recordBytes(final long count) {
        bytes += count;
    }

    /**
     * Records that tokens were forwarded.
     *
     * @param count the number of tokens
     */
    void recordTokens(final long count) {
        tokens += count;
    }

    /**
     * Records the usage that the target reported.
     *
     * @param total the number of prompt and completion tokens
     */
    void recordUsage(final long total) {
        reportedTokens = Math.max(reportedTokens, total);
    }

    /**
     * Returns whether any part of the response was forwarded.
     *
     * @return true once the head was forwarded
     */
    boolean started() {
        return headForwarded;
    }

    /**
     * Returns the number of body bytes forwarded.
     *
     * @return the number of bytes
     */
    long bytes() {
        return bytes;
    }

    /**
     * Returns the number of tokens forwarded.
     *
     * @return the number of tokens
     */
    long tokens() {
        return tokens;
    }

    /**
     * Returns the usage that the target reported.
     *
     * @return the number of prompt and completion tokens, or 0 if none was reported
     */
    long reportedTokens() {
        return reportedTokens;
    }
}
