package org.balsambank.core.team;

import java.time.Duration;

/**
 * The periods and timeouts of share lending.
 *
 * <p>Immutable and thread-safe. A share lasts longer than another VM takes to take over the partitions of its owner. A
 * borrower reports at least twice before the standby rate takes effect.
 *
 * @param reportPeriod the period at which a VM with demand reports to the owner
 * @param retryPeriod the minimum time between two reports of a VM for one team
 * @param standbyAfter how long after a grant the standby rate takes effect if no further grant arrives
 * @param lifetime how long a share lasts after the report that it was granted for
 * @param surgeLifetime how long a VM may hold units above its capacity, for requests that are already waiting
 * @param reportTimeout the timeout of a report
 * @param maxWait the maximum time that a request waits for units
 * @param maxWaitWithoutOwner the maximum time that a request waits for units while the owner does not respond
 * @param stockDuration the time span of demand that the units stocked on a VM cover
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
    /** The default settings of the daemon. */
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

    /** The maximum relative difference between two clocks that measure the same duration. */
    static final double CLOCK_DRIFT = 0.01;

    /**
     * Returns how long an owner accounts for a share that may last this long on another VM.
     *
     * @param duration the lifetime of the share
     * @return the time in nanoseconds, with a margin for clock drift
     */
    static long withDrift(final Duration duration) {
        return (long) (duration.toNanos() * (1 + CLOCK_DRIFT));
    }

    /**
     * Returns the delay after a grant from which the owner accounts for its standby rate.
     *
     * @return the time in nanoseconds, minus a margin for clock drift
     */
    long accountedStandbyNanos() {
        return (long) (standbyAfter.toNanos() * (1 - CLOCK_DRIFT));
    }
}
