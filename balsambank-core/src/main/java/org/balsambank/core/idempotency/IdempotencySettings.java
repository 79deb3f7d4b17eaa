package org.balsambank.core.idempotency;

import java.time.Duration;

/**
 * The settings of idempotency records.
 *
 * <p>Immutable and thread-safe. The number of shards must be the same on all VMs and must not change while records are
 * stored.
 *
 * @param shards the number of logs in the key-value service; with the write interval it limits the write rate of the
 *     fleet
 * @param writeInterval the pause after each write of one log
 * @param retention the minimum time that a record is kept
 * @param maxRunDuration the maximum time that a call runs; a call without a response after that has an unknown outcome
 * @param maxRecords the maximum number of records in one log; above it new calls are refused
 * @param segmentBytes the size above which a segment is closed
 */
public record IdempotencySettings(
        int shards,
        Duration writeInterval,
        Duration retention,
        Duration maxRunDuration,
        int maxRecords,
        int segmentBytes) {
    /** The default settings of the daemon. */
    public static final IdempotencySettings DEFAULT = new IdempotencySettings(
            8, Duration.ofMillis(25), Duration.ofHours(24), Duration.ofMinutes(10), 50_000, 4 << 10);
}
