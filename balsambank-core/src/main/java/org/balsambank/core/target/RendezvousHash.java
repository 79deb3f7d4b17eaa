package org.balsambank.core.target;

import java.util.stream.Stream;

import net.openhft.hashing.LongHashFunction;

/**
 * Computes rendezvous hash scores. All VMs compute the same order of candidates for a subject.
 *
 * <p>Stateless and thread-safe.
 */
public final class RendezvousHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHash() {}

    /**
     * Hashes a string.
     *
     * @param text the string to hash
     * @return the hash
     */
    public static long of(final String text) {
        return HASH.hashChars(text);
    }

    /**
     * Returns the rank of one candidate among others.
     *
     * @param subject the item that the candidates are ranked for
     * @param candidate the candidate to rank
     * @param candidates the candidates; may include the ranked one
     * @return the number of candidates with a higher score
     */
    public static int rank(final String subject, final String candidate, final Stream<String> candidates) {
        final long hash = of(subject);
        final long score = score(hash, of(candidate));
        return (int) candidates.filter(each -> score(hash, of(each)) > score).count();
    }

    /**
     * Returns the score of a candidate for a subject.
     *
     * @param subject the hash of the subject
     * @param candidate the hash of the candidate
     * @return the score; higher scores are preferred
     */
    public static long score(final long subject, final long candidate) {
        return HASH.hashLong(subject ^ Long.rotateLeft(candidate, 1));
    }
}
