package org.balsambank.core.partition;

import org.balsambank.core.time.TimerService;

/**
 * The promises that this VM has given as a voter.
 *
 * <p>Confined to the decision loop. Invariants: a promise is given only for the version that this VM has adopted; this
 * VM confirms a version only when all promises for earlier ones have ended.
 */
final class VoterPromises {
    private final TimerService timer;
    private final long promiseNanos;
    private long version;
    private long currentEndNanos;
    private long earlierEndNanos;

    /**
     * Creates a voter that has adopted nothing and confirms nothing.
     *
     * @param timer gives the time
     * @param settings the durations
     */
    VoterPromises(final TimerService timer, final OwnershipSettings settings) {
        this.timer = timer;
        promiseNanos = settings.promiseFor().toNanos();
        currentEndNanos = timer.nanoTime();
        earlierEndNanos = currentEndNanos;
    }

    /**
     * Adopts a later version; promises for the one before run out.
     *
     * @param newVersion the version
     */
    void adopt(final long newVersion) {
        version = newVersion;
        earlierEndNanos = Math.max(earlierEndNanos, currentEndNanos);
    }

    /**
     * Promises to keep a version in force.
     *
     * @param asked the version
     * @return true if it is the adopted one; the promise lasts from now
     */
    boolean promise(final long asked) {
        if (asked == 0 || asked != version) {
            return false;
        }
        currentEndNanos = timer.nanoTime() + promiseNanos;
        return true;
    }

    /**
     * Confirms a version.
     *
     * @param asked the version
     * @return true if this VM has adopted it or a later one and has no promise for an earlier one
     */
    boolean confirm(final long asked) {
        return asked > 0 && asked <= version && timer.nanoTime() >= earlierEndNanos;
    }
}
