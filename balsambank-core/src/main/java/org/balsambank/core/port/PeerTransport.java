package org.balsambank.core.port;

import java.time.Duration;

import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.VmId;

/**
 * The links of this VM to the other VMs.
 *
 * <p>An answer completes only if it arrived whole and in order. Errors are {@code BalsambankException} if the other
 * VM answered with one, else {@link PeerException}. A link that goes silent fails its calls within seconds. Results
 * arrive on the decision loop of the VM. A call to this VM itself is answered by its own handler.
 */
public interface PeerTransport {
    /**
     * Calls another VM and expects one item as the answer.
     *
     * @param to the VM
     * @param method the call
     * @param request the request
     * @param timeout how long to wait for the answer
     * @param <Q> the type of the request
     * @param <A> the type of the answer
     * @return the answer; a subscription sends the request
     */
    <Q extends Message, A extends Message> Single<A> call(
            VmId to, PeerMethod<Q, A> method, Q request, Duration timeout);

    /**
     * Calls another VM and expects a flow of items, with back-pressure. A disposed subscription cancels the call.
     *
     * @param to the VM
     * @param method the call
     * @param request the request
     * @param <Q> the type of the request
     * @param <A> the type of an item
     * @return the items; a subscription sends the request
     */
    <Q extends Message, A extends Message> Flowable<A> stream(VmId to, PeerMethod<Q, A> method, Q request);

    /**
     * Registers the handler of a call.
     *
     * @param method the call
     * @param handler answers it
     * @param <Q> the type of the request
     * @param <A> the type of an item of the answer
     */
    <Q extends Message, A extends Message> void serve(PeerMethod<Q, A> method, PeerHandler<Q, A> handler);
}
