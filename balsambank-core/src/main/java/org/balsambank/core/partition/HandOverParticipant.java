package org.balsambank.core.partition;

import com.google.protobuf.ByteString;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;

/**
 * A component with state per partition that moves to the next owner when this VM hands a partition over.
 *
 * <p>Called on the decision loop.
 */
public interface HandOverParticipant {
    /**
     * Returns the name under which the state is sent.
     *
     * @return the name, unique among the participants and the same on all VMs
     */
    String name();

    /**
     * Exports the state of a partition after this VM has stopped acting as its owner.
     *
     * @param partition the partition that is handed over
     * @return the state
     */
    ByteString exportState(PartitionId partition);

    /**
     * Imports the state of a partition right before this VM gains it. Not called for a partition that is taken over
     * from a failed owner.
     *
     * @param partition the partition that was handed over
     * @param epoch the epoch of this VM
     * @param state the state that the earlier owner exported
     */
    void importState(PartitionId partition, Epoch epoch, ByteString state);
}
