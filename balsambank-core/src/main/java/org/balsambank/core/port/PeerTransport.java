package org.balsambank.core.port;

import java.time.Duration;

import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.VmId;

/**
 * RPC transport between this VM and the other VMs.
 *
 * <p>A response completes only if all its items arrived in order. Calls fail with {@code BalsambankException} if the
 * other VM responded with one, otherwise with {@link PeerException}. If a link stops responding, its calls fail within
 * seconds. Results arrive on the decision loop of the VM. A call to this VM is dispatched to its own handler.
 */
public interface PeerTransport {
    /**
     * Calls another VM and expects exactly one response item.
     *
     * @param to the VM to call
     * @param method the RPC method to call
     * @param request the request message
     * @param timeout the response timeout
     * @param <Q> the request type
     * @param <R> the response type
     * @return the response; the request is sent on subscription
     */
    <Q extends Message, R extends Message> Single<R> call(
            VmId to, PeerMethod<Q, R> method, Q request, Duration timeout);

    /**
     * Calls another VM and expects a stream of response items, with backpressure. Disposing the subscription cancels
     * the call.
     *
     * @param to the VM to call
     * @param method the RPC method to call
     * @param request the request message
     * @param <Q> the request type
     * @param <R> the response item type
     * @return the response items; the request is sent on subscription
     */
    <Q extends Message, R extends Message> Flowable<R> stream(VmId to, PeerMethod<Q, R> method, Q request);

    /**
     * Registers the handler of a method.
     *
     * @param method the RPC method to serve
     * @param handler called for each call of the method by another VM
     * @param <Q> the request type
     * @param <R> the response item type
     */
    <Q extends Message, R extends Message> void serve(PeerMethod<Q, R> method, PeerHandler<Q, R> handler);
}
