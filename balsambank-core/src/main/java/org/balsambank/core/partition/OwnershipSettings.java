package org.balsambank.core.partition;

import java.time.Duration;

/**
 * The settings of partition ownership, which must be the same on all VMs of a fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param partitions the number of partitions
 * @param leaseTimeToLive how long a lease lasts without renewal
 * @param renewEvery the period at which a lease is renewed
 * @param leaseMargin how long before the end of its lease, by its own clock, an owner stops acting
 * @param takeOverMargin how long a new owner waits after it has adopted a takeover
 * @param promiseFor how long a promise of a voter keeps a version in force for an owner that cannot renew its lease
 * @param promiseMargin how long before the end of a promise, by its own clock, an owner stops acting
 * @param scansPerSecond the rate at which the fleet as a whole reads the member list
 */
public record OwnershipSettings(
        int partitions,
        Duration leaseTimeToLive,
        Duration renewEvery,
        Duration leaseMargin,
        Duration takeOverMargin,
        Duration promiseFor,
        Duration promiseMargin,
        double scansPerSecond) {
    /** The settings for a fleet of a few VMs. */
    public static final OwnershipSettings SMALL_FLEET = new OwnershipSettings(
            64,
            Duration.ofSeconds(5),
            Duration.ofMillis(1250),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            Duration.ofSeconds(3),
            Duration.ofMillis(300),
            4);

    /** The settings for a fleet of several hundred VMs. */
    public static final OwnershipSettings LARGE_FLEET = new OwnershipSettings(
            1024,
            Duration.ofSeconds(15),
            Duration.ofSeconds(5),
            Duration.ofMillis(1500),
            Duration.ofMillis(500),
            Duration.ofSeconds(10),
            Duration.ofSeconds(1),
            4);

    /** Checks that the settings are consistent. */
    public OwnershipSettings {
        if (partitions < 1) {
            throw new IllegalArgumentException("partitions: " + partitions);
        }
        if (renewEvery.plus(leaseMargin).compareTo(leaseTimeToLive) >= 0) {
            throw new IllegalArgumentException("lease of " + leaseTimeToLive + " ends before it is renewed");
        }
        if (promiseMargin.compareTo(promiseFor) >= 0) {
            throw new IllegalArgumentException("promise of " + promiseFor + " is not longer than its margin");
        }
    }
}
