package org.balsambank.core.target;

import net.openhft.hashing.LongHashFunction;

/**
 * Scores a pair of subject and candidate for rendezvous hashing: each VM computes the same order of candidates.
 *
 * <p>Stateless and thread-safe.
 */
public final class RendezvousHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHash() {}

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return the hash
     */
    public static long of(final String text) {
        return HASH.hashChars(text);
    }

    /**
     * Scores a pair.
     *
     * @param subject the hash of the subject
     * @param candidate the hash of the candidate
     * @return the score; the highest comes first
     */
    public static long score(final long subject, final long candidate) {
        return HASH.hashLong(subject ^ Long.rotateLeft(candidate, 1));
    }
}
