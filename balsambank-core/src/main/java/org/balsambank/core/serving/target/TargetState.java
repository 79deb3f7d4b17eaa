package org.balsambank.core.serving.target;

/**
 * The state of one target as known to this VM.
 *
 * <p>Immutable and thread-safe.
 *
 * @param announcement the latest announcement of the target
 * @param revision the revision of the announcement
 * @param receivedNanos when this VM received it, on the monotonic clock
 * @param coldUntilNanos until when the target is cold, that is, accepts requests only at a reduced rate
 * @param goneAtNanos when the target stops receiving requests because its announcement is gone, or
 *     {@link Long#MAX_VALUE} while it is announced
 */
public record TargetState(
        TargetAnnouncement announcement, long revision, long receivedNanos, long coldUntilNanos, long goneAtNanos) {
    /**
     * Returns whether the target accepts requests only at a reduced rate.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return true while it is cold
     */
    public boolean cold(final long nowNanos) {
        return nowNanos - coldUntilNanos < 0;
    }

    /**
     * Returns how long the target has been gone.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return nanoseconds, 0 or negative if it is not gone
     */
    long goneFor(final long nowNanos) {
        return goneAtNanos == Long.MAX_VALUE ? 0 : nowNanos - goneAtNanos;
    }

    /**
     * Returns whether the target may receive new requests.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return false if it is draining or gone
     */
    public boolean usable(final long nowNanos) {
        return !announcement.draining() && (goneAtNanos == Long.MAX_VALUE || nowNanos - goneAtNanos < 0);
    }
}
