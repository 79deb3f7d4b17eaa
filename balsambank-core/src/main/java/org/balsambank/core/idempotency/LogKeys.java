package org.balsambank.core.idempotency;

/** The keys of the idempotency logs in the key-value service. Stateless and thread-safe. */
final class LogKeys {
    private static final String ROOT = "balsambank/idempotency/";
    private static final String HEAD = "/head";
    private static final String SEGMENTS = "/segment/";

    private LogKeys() {}

    /**
     * Returns the key of the open segment.
     *
     * @param shard the number of the shard
     * @return the key
     */
    static String head(final int shard) {
        return ROOT + shard + HEAD;
    }

    /**
     * Returns the key prefix of the closed segments.
     *
     * @param shard the number of the shard
     * @return the prefix
     */
    static String segments(final int shard) {
        return ROOT + shard + SEGMENTS;
    }

    /**
     * Returns the key of a closed segment. A segment that is closed twice, by two owners or in one epoch, has the same
     * key.
     *
     * @param shard the number of the shard
     * @param revision the revision of the open segment with these entries
     * @return the key; keys sort in the order of revisions
     */
    static String segment(final int shard, final long revision) {
        return segments(shard) + String.format("%016x", revision);
    }
}
