package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

import org.balsambank.core.serving.placement.ClaimSubject;
import org.balsambank.core.time.TimerService;

/**
 * Spaces the calls for each subject so that all VMs together stay within their rate.
 *
 * <p>Each subject gets an equal share of the rate. As each has one holder, VMs need not know each other's calls.
 * Confined to the decision loop.
 */
final class DutyPacer {
    private final double callsPerSecond;
    private final LongSupplier subjects;
    private final TimerService timer;
    private final Map<ClaimSubject, Long> calledNanos = new HashMap<>();

    /**
     * Creates a pacer without calls.
     *
     * @param callsPerSecond the calls that all VMs together may make
     * @param subjects the number of subjects
     * @param timer supplies the monotonic time
     */
    DutyPacer(final double callsPerSecond, final LongSupplier subjects, final TimerService timer) {
        this.callsPerSecond = callsPerSecond;
        this.subjects = Objects.requireNonNull(subjects);
        this.timer = Objects.requireNonNull(timer);
    }

    /** Returns whether a call for a subject may be made now, and counts it if so. */
    boolean tryCall(final ClaimSubject subject) {
        final long now = timer.nanoTime();
        final long interval = (long) (Math.max(1, subjects.getAsLong())
                / callsPerSecond
                * Duration.ofSeconds(1).toNanos());
        final Long previous = calledNanos.get(subject);
        if (previous != null && now - previous < interval) {
            return false;
        }
        calledNanos.put(subject, now);
        return true;
    }
}
