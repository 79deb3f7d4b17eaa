package org.balsambank.core.port;

import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.VmId;

/**
 * Handles RPC calls from other VMs.
 *
 * <p>Called on the decision loop of the VM that receives the call.
 *
 * @param <Q> the request type
 * @param <R> the response item type
 */
@FunctionalInterface
public interface PeerHandler<Q extends Message, R extends Message> {
    /**
     * Handles a call. The subscription is disposed if the calling VM cancels the call or disconnects.
     *
     * @param from the calling VM
     * @param request the request message that the calling VM sent
     * @return the response items; a {@code BalsambankException} is propagated to the calling VM
     */
    Flowable<R> handle(VmId from, Q request);
}
