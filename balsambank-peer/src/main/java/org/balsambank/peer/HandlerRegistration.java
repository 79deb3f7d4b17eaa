package org.balsambank.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.core.port.PeerMethod;

/**
 * The registered handler of one method.
 *
 * <p>Immutable; called on the decision loop.
 *
 * @param method the method
 * @param handler the handler
 * @param <Q> the type of the request
 * @param <A> the type of an item of the response
 */
record HandlerRegistration<Q extends Message, A extends Message>(PeerMethod<Q, A> method, PeerHandler<Q, A> handler) {
    /**
     * Decodes the request of a call and passes it to the handler.
     *
     * @param from the calling VM
     * @param request the encoded request
     * @return the response items
     */
    Flowable<A> dispatch(final VmId from, final ByteString request) {
        try {
            return handler.handle(from, method.requestParser().parseFrom(request));
        } catch (final InvalidProtocolBufferException e) {
            return Flowable.error(
                    new BalsambankException(ErrorKind.MALFORMED_REQUEST, "the request of " + method.name()));
        } catch (final RuntimeException e) {
            return Flowable.error(e);
        }
    }
}
