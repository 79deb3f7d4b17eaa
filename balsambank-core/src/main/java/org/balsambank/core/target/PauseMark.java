package org.balsambank.core.target;

import java.time.Duration;
import java.util.Optional;

/**
 * The time for which one start of a target wants no requests from this VM, as it has said in a rejection.
 *
 * <p>After the pause, requests return at a limited rate: the requests that may be in flight rise from one to the slots
 * of the target. Immutable and thread-safe.
 *
 * @param untilNanos when the last pause ends or ended, on the monotonic clock; meaningless if there was none
 * @param any whether there was a pause
 */
public record PauseMark(long untilNanos, boolean any) {
    /** The target has never asked for a pause. */
    public static final PauseMark NONE = new PauseMark(0, false);

    private static final Duration MAX_PAUSE = Duration.ofDays(1);
    private static final long RETURN_NANOS = Duration.ofSeconds(1).toNanos();
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * Parses the time of a rejection.
     *
     * @param seconds seconds, whole or with a fraction
     * @return the time, at most a day; empty if it can't be read or is negative
     */
    public static Optional<Duration> parse(final String seconds) {
        try {
            final double value = Double.parseDouble(seconds.trim());
            if (Double.isNaN(value) || value < 0) {
                return Optional.empty();
            }
            return Optional.of(
                    Duration.ofMillis((long) Math.ceil(Math.min(value * MILLIS_PER_SECOND, MAX_PAUSE.toMillis()))));
        } catch (final NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the mark after a further rejection; a pause is never shortened.
     *
     * @param nowNanos the current monotonic time
     * @param pause the time for which the target wants no requests
     * @return the mark
     */
    public PauseMark withPause(final long nowNanos, final Duration pause) {
        final long until = nowNanos + pause.toNanos();
        return any && untilNanos - until > 0 ? this : new PauseMark(until, true);
    }

    /**
     * Returns the mark after a new announcement of the target.
     *
     * @param restarted whether it is of another start
     * @return this mark, or none after a restart
     */
    public PauseMark afterAnnouncement(final boolean restarted) {
        return restarted ? NONE : this;
    }

    /**
     * Returns the time until the pause ends.
     *
     * @param nowNanos the current monotonic time
     * @return the time, zero if there is no pause
     */
    public Duration remaining(final long nowNanos) {
        return any && untilNanos - nowNanos > 0 ? Duration.ofNanos(untilNanos - nowNanos) : Duration.ZERO;
    }

    /**
     * Returns the requests that may be in flight at the target.
     *
     * @param nowNanos the current monotonic time
     * @param slots the slots of the target
     * @return 0 during a pause, then rising; unlimited without a recent pause
     */
    public int maxInFlight(final long nowNanos, final int slots) {
        final long sinceEnd = nowNanos - untilNanos;
        if (!any || sinceEnd >= RETURN_NANOS) {
            return Integer.MAX_VALUE;
        }
        return sinceEnd < 0 ? 0 : 1 + (int) (slots * sinceEnd / RETURN_NANOS);
    }
}
