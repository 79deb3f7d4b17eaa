package org.balsambank.core.target;

import java.util.Optional;

import org.balsambank.core.id.Epoch;
import org.balsambank.core.port.TargetNotice;

/**
 * Permission to run one request on one target. It pins the adapter until it is released.
 *
 * <p>Confined to the decision loop.
 */
public interface TargetPermit {
    /**
     * Returns the fencing number for the request. Called immediately before the request is sent.
     *
     * @return the fencing number, or empty if the request must not be sent because this VM no longer owns the target,
     *     the target is out of service, or the permit was released
     */
    Optional<Epoch> epochToSend();

    /**
     * Records what the response to the request says of the target.
     *
     * @param notice what the target says of itself
     * @param rejected whether it rejects the request and may want no others for a time
     */
    void noticed(TargetNotice notice, boolean rejected);

    /**
     * Releases the permit. Each holder calls this exactly once; later calls have no effect.
     *
     * @param outcome how the request ended at the target
     */
    void release(TargetOutcome outcome);
}
