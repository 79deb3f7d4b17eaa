package org.balsambank.core.port;

/**
 * Composes the era of the key-value service and a revision into one number, and splits it.
 *
 * <p>An era begins when the service has come back from an older copy of its content. Revisions are issued again in each
 * era, so that only both together tell which of two states is newer. The composed numbers are in that order, and equal
 * the revision in era 0. They are exact as floating-point numbers, as JSON readers use them, up to {@link #MAX_ERA}.
 * Stateless and thread-safe.
 */
public final class StoreRevision {
    /** The highest era whose composed numbers are below 2^53. */
    public static final long MAX_ERA = 8_191;
    /** The highest revision within an era. */
    public static final long MAX_REVISION = (1L << 40) - 1;

    private static final int REVISION_BITS = 40;

    private StoreRevision() {}

    /**
     * Composes a number.
     *
     * @param era the era, 0 to {@link #MAX_ERA}
     * @param revision the revision within the era, 0 to {@link #MAX_REVISION}
     * @return the number, higher than all of earlier eras
     * @throws IllegalArgumentException if one of them is out of range
     */
    public static long of(final long era, final long revision) {
        if (era < 0 || era > MAX_ERA || revision < 0 || revision > MAX_REVISION) {
            throw new IllegalArgumentException("era " + era + " or revision " + revision + " is out of range");
        }
        return era << REVISION_BITS | revision;
    }

    /**
     * Returns the era of a composed number.
     *
     * @param composed the number
     * @return the era
     */
    public static long era(final long composed) {
        return composed >> REVISION_BITS;
    }

    /**
     * Returns the revision within its era.
     *
     * @param composed the number
     * @return the revision
     */
    public static long revision(final long composed) {
        return composed & MAX_REVISION;
    }
}
