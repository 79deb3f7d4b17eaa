package org.balsambank.core.partition;

import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;

/**
 * A gain or loss of a partition by this VM.
 *
 * <p>Immutable and thread-safe.
 *
 * @param partition the partition that was gained or lost
 * @param epoch the epoch that was gained or lost
 * @param kind the kind of change
 */
public record OwnershipChange(PartitionId partition, Epoch epoch, Kind kind) {
    /** The kind of change. */
    public enum Kind {
        /** This VM has become the owner and the earlier owner can no longer act. */
        GAINED,
        /** This VM is no longer the owner. */
        LOST
    }
}
