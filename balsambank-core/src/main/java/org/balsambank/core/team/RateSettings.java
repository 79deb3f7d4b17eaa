package org.balsambank.core.team;

import java.time.Duration;

/**
 * The times of share lending.
 *
 * <p>Immutable and thread-safe. A share lives longer than it takes until another VM has taken its owner's partitions
 * over; asks follow each other at least twice before the standby rate begins.
 *
 * @param reportPeriod how often a VM with demand reports to the owner
 * @param retryPeriod the shortest time between two asks of a VM for one team
 * @param standbyAfter how long after an answer the standby rate begins, if no other answer came
 * @param lifetime how long a share lasts
 * @param surgeLifetime how long a VM may hold more than its capacity, to pass units on to requests that wait
 * @param reportTimeout how long an answer may take
 * @param maxWait how long a request waits for units
 * @param maxWaitWithoutOwner how long a request waits for units while the owner does not answer
 * @param stockDuration for how long the units on a VM are to last
 */
public record RateSettings(
        Duration reportPeriod,
        Duration retryPeriod,
        Duration standbyAfter,
        Duration lifetime,
        Duration surgeLifetime,
        Duration reportTimeout,
        Duration maxWait,
        Duration maxWaitWithoutOwner,
        Duration stockDuration) {
    /** The times that daemons use unless told otherwise. */
    public static final RateSettings DEFAULT = new RateSettings(
            Duration.ofMillis(500),
            Duration.ofMillis(100),
            Duration.ofMillis(1100),
            Duration.ofSeconds(10),
            Duration.ofMillis(250),
            Duration.ofMillis(150),
            Duration.ofMillis(400),
            Duration.ofSeconds(2),
            Duration.ofMillis(1200));

    /** Part of a duration by which two clocks may differ over it. */
    static final double CLOCK_DRIFT = 0.01;

    /**
     * Returns how long an owner counts a share that may live this long on another VM.
     *
     * @param duration the life of the share
     * @return the time in nanoseconds, with a margin for clock drift
     */
    static long withDrift(final Duration duration) {
        return (long) (duration.toNanos() * (1 + CLOCK_DRIFT));
    }

    /**
     * Returns after how long an owner counts the standby rate of a share.
     *
     * @return the time in nanoseconds, less a margin for clock drift
     */
    long countedStandbyNanos() {
        return (long) (standbyAfter.toNanos() * (1 - CLOCK_DRIFT));
    }
}
