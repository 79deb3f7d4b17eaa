package org.balsambank.core.serving.target;

/**
 * What this VM believes of one target, and since when.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entry what the target announced last
 * @param revision the revision of the announcement
 * @param learnedNanos when this VM learned of it, on the monotonic clock
 * @param coldUntilNanos until when the target bears little
 * @param goneAtNanos when the target counts as gone because its announcement has lapsed, or {@link Long#MAX_VALUE}
 */
public record TargetState(
        TargetAnnouncement entry, long revision, long learnedNanos, long coldUntilNanos, long goneAtNanos) {
    /**
     * Tells whether the target bears little.
     *
     * @param nowNanos the monotonic time
     * @return true while it is cold
     */
    public boolean cold(final long nowNanos) {
        return nowNanos - coldUntilNanos < 0;
    }

    /**
     * Returns how long the target has been gone.
     *
     * @param nowNanos the monotonic time
     * @return nanoseconds, 0 or less if it is not gone
     */
    long goneFor(final long nowNanos) {
        return goneAtNanos == Long.MAX_VALUE ? 0 : nowNanos - goneAtNanos;
    }

    /**
     * Tells whether new work may go there.
     *
     * @param nowNanos the monotonic time
     * @return false if it is leaving or gone
     */
    public boolean usable(final long nowNanos) {
        return !entry.leaving() && (goneAtNanos == Long.MAX_VALUE || nowNanos - goneAtNanos < 0);
    }
}
