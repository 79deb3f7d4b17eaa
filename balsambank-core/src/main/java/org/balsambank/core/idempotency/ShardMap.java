package org.balsambank.core.idempotency;

import java.util.Objects;

import net.openhft.hashing.LongHashFunction;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;

/**
 * Maps calls to a fixed number of shards, and shards to partitions.
 *
 * <p>Immutable. Confined to the decision loop because the ownership is.
 */
final class ShardMap {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final Ownership ownership;
    private final int count;

    /**
     * Creates the map.
     *
     * @param ownership the mapping of shards to partitions
     * @param count the number of shards
     */
    ShardMap(final Ownership ownership, final int count) {
        this.ownership = Objects.requireNonNull(ownership);
        this.count = count;
    }

    /**
     * Returns the shard of a call.
     *
     * @param team the team that calls
     * @param key the idempotency key of the call
     * @return the number of the shard
     */
    int shardOf(final TeamId team, final IdempotencyKey key) {
        return (int) Long.remainderUnsigned(HASH.hashChars(team.value() + '\n' + key.value()), count);
    }

    /**
     * Returns the partition whose owner decides for a shard.
     *
     * @param shard the number of the shard
     * @return the partition
     */
    PartitionId partitionOf(final int shard) {
        return ownership.partitionOf(SubjectKind.IDEMPOTENCY_KEY, "shard-" + shard);
    }

    /**
     * Returns the number of shards.
     *
     * @return the number; shards are numbered from 0
     */
    int count() {
        return count;
    }
}
