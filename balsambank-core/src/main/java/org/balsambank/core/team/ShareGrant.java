package org.balsambank.core.team;

import java.time.Duration;

/**
 * The share that an owner lends to a VM in response to a report.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the report
 * @param rate the standby rate in units per second
 * @param capacity the maximum number of units that the VM may hold
 * @param surgeCapacity the maximum number of units that the VM may hold during the surge lifetime
 * @param units the number of units to add to the VM's level
 * @param standbyAfter how long after the grant is received the standby rate takes effect
 * @param lifetime how long after the report was sent the share expires
 * @param surgeLifetime how long after the report was sent the surge capacity expires
 * @param nextReport the delay before the next report can obtain units
 * @param retryAfter the delay until units are available for the requests that still wait
 */
record ShareGrant(
        long number,
        double rate,
        double capacity,
        double surgeCapacity,
        double units,
        Duration standbyAfter,
        Duration lifetime,
        Duration surgeLifetime,
        Duration nextReport,
        Duration retryAfter) {}
