package org.balsambank.core.target;

import java.util.stream.Stream;

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
     * Returns the place of one candidate among others.
     *
     * @param subject the subject
     * @param own the candidate
     * @param candidates the candidates, with that one or without
     * @return the number of those that come before it
     */
    public static int rank(final String subject, final String own, final Stream<String> candidates) {
        final long hash = of(subject);
        final long score = score(hash, of(own));
        return (int) candidates.filter(each -> score(hash, of(each)) > score).count();
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
