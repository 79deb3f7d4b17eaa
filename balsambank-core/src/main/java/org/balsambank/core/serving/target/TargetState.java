package org.balsambank.core.serving.target;

import java.time.Duration;

import org.balsambank.core.target.LeavingMark;
import org.balsambank.core.target.PauseMark;

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
 * @param leaving whether it has said in a response that it leaves
 * @param pause the time for which it wants no requests
 */
public record TargetState(
        TargetAnnouncement announcement,
        long revision,
        long receivedNanos,
        long coldUntilNanos,
        long goneAtNanos,
        LeavingMark leaving,
        PauseMark pause) {
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
     * Returns whether the target is in service, though it may want no requests at the moment.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return false if it is draining, leaving or gone
     */
    public boolean usable(final long nowNanos) {
        return !draining() && (goneAtNanos == Long.MAX_VALUE || nowNanos - goneAtNanos < 0);
    }

    /**
     * Returns whether the target shuts down, as it has announced or said in a response.
     *
     * @return true from then on
     */
    boolean draining() {
        return announcement.draining() || leaving.set();
    }

    /**
     * Returns how long the target wants no requests.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the time, zero without a pause
     */
    public Duration pauseRemaining(final long nowNanos) {
        return pause.remaining(nowNanos);
    }

    /**
     * Returns the requests that may be in flight at the target during and after a pause.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the number of requests, {@link Integer#MAX_VALUE} without a recent pause
     */
    public int maxInFlight(final long nowNanos) {
        return pause.maxInFlight(nowNanos, announcement.slots());
    }

    /** Returns the state after a response that says that the target leaves. */
    TargetState withLeaving() {
        return withMarks(leaving.withNotice(), pause);
    }

    /** Returns the state after a rejection that asks for a pause. */
    TargetState withPause(final long nowNanos, final Duration wanted) {
        return withMarks(leaving, pause.withPause(nowNanos, wanted));
    }

    private TargetState withMarks(final LeavingMark newLeaving, final PauseMark newPause) {
        return new TargetState(
                announcement, revision, receivedNanos, coldUntilNanos, goneAtNanos, newLeaving, newPause);
    }
}
