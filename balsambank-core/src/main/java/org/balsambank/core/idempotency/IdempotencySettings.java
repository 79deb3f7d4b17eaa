package org.balsambank.core.idempotency;

import java.time.Duration;

/**
 * How idempotency records are kept.
 *
 * <p>Immutable and thread-safe. The number of shards is the same on all VMs and never changes while records are kept.
 *
 * @param shards the number of logs in the key-value service; with the spacing it bounds the writes of the fleet
 * @param writeInterval the time between two writes of one log
 * @param retention how long a record is kept at the least
 * @param maxRunDuration how long a call can run; after that its outcome will not be known
 * @param maxRecords the records that one log may hold; above it new calls are refused
 * @param segmentBytes the size above which a segment is closed
 */
public record IdempotencySettings(
        int shards,
        Duration writeInterval,
        Duration retention,
        Duration maxRunDuration,
        int maxRecords,
        int segmentBytes) {
    /** The settings that the daemon uses unless told otherwise. */
    public static final IdempotencySettings DEFAULT = new IdempotencySettings(
            8, Duration.ofMillis(25), Duration.ofHours(24), Duration.ofMinutes(10), 50_000, 4 << 10);
}
