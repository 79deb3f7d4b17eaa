package org.balsambank.core.partition;

import org.balsambank.core.time.TimerService;

/**
 * The promises that this VM has made as a voter to keep a version of the assignment in force.
 *
 * <p>Confined to the decision loop. Invariants: this VM promises only to keep the version in force that it has adopted;
 * it confirms a version only after all its promises for earlier versions have expired.
 */
final class VoterPromises {
    private final TimerService timer;
    private final long promiseNanos;
    private long version;
    private long currentEndNanos;
    private long earlierEndNanos;

    /**
     * Creates the promises of a voter that has adopted no version.
     *
     * @param timer the clock and timers
     * @param settings the ownership settings
     */
    VoterPromises(final TimerService timer, final OwnershipSettings settings) {
        this.timer = timer;
        promiseNanos = settings.promiseFor().toNanos();
        currentEndNanos = timer.nanoTime();
        earlierEndNanos = currentEndNanos;
    }

    /**
     * Adopts a later version. Promises for the previous version are not extended any more.
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
     * @param requested the version
     * @return true if it is the adopted version; the promise lasts from now on
     */
    boolean promise(final long requested) {
        if (requested == 0 || requested != version) {
            return false;
        }
        currentEndNanos = timer.nanoTime() + promiseNanos;
        return true;
    }

    /**
     * Confirms a version.
     *
     * @param requested the version
     * @return true if this VM has adopted it or a later one, and all promises for versions before the adopted one have
     *     expired
     */
    boolean confirm(final long requested) {
        return requested > 0 && requested <= version && timer.nanoTime() >= earlierEndNanos;
    }
}
