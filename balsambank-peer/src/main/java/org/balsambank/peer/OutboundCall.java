package org.balsambank.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.peer.PeerCall;
import org.balsambank.protocol.generated.peer.PeerEnd;
import org.balsambank.protocol.generated.peer.PeerItem;

/**
 * One call to another VM.
 *
 * <p>Confined to the decision loop. Invariants: the response completes only after an end frame whose item count matches
 * the received items; the items buffered for the subscriber never exceed the window.
 *
 * @param <A> the type of an item of the response
 */
final class OutboundCall<A extends Message> {
    private static final int CREDITS_PER_WINDOW = 2;

    private final PeerMethod<?, A> method;
    private final ByteString request;
    private final int window;
    private final UnicastProcessor<A> items = UnicastProcessor.create();
    private OutboundLink link;
    private long id;
    private long receivedItems;
    private int consumedItems;
    private boolean sent;

    /**
     * Creates a call.
     *
     * @param method the called method
     * @param request the encoded request
     * @param window the maximum number of items buffered for the subscriber
     */
    OutboundCall(final PeerMethod<?, A> method, final ByteString request, final int window) {
        this.method = method;
        this.request = request;
        this.window = window;
    }

    /**
     * Binds the call to its link.
     *
     * @param newLink the link
     * @param newId the id of the call on the link
     */
    void bind(final OutboundLink newLink, final long newId) {
        link = newLink;
        id = newId;
    }

    /**
     * Returns the response items. Consumed items are granted to the peer again as credit.
     *
     * @return the response
     */
    Flowable<A> response() {
        return items.doOnNext(ignored -> itemConsumed()).doOnCancel(() -> link.cancel(id, sent));
    }

    /**
     * Returns the call frame and marks the call as sent.
     *
     * @return the payload of the frame
     */
    PeerCall createCallFrame() {
        sent = true;
        return PeerCall.newBuilder()
                .setId(id)
                .setMethod(method.number())
                .setRequest(request)
                .setCredit(window)
                .build();
    }

    /**
     * Handles a response item.
     *
     * @param item the payload of the frame
     * @return false if the item is out of order or unreadable
     */
    boolean onItem(final PeerItem item) {
        if (item.getSequence() != receivedItems) {
            return false;
        }
        try {
            final A response = method.responseParser().parseFrom(item.getAnswer());
            receivedItems++;
            items.onNext(response);
            return true;
        } catch (final InvalidProtocolBufferException e) {
            return false;
        }
    }

    /**
     * Handles the end frame; fails the call if items are missing.
     *
     * @param end the payload of the frame
     */
    void onEnd(final PeerEnd end) {
        if (end.getItems() == receivedItems) {
            items.onComplete();
        } else {
            fail(new PeerException(Reason.LOST, "the response of " + method.name() + " is incomplete"));
        }
    }

    /**
     * Fails the call.
     *
     * @param error the error
     */
    void fail(final Throwable error) {
        items.onError(error);
    }

    /**
     * Fails the call because its link was closed.
     *
     * @param cause the reason, for the error message
     */
    void onLinkClosed(final String cause) {
        fail(new PeerException(sent ? Reason.LOST : Reason.NOT_SENT, method.name() + ": " + cause));
    }

    private void itemConsumed() {
        consumedItems++;
        if (consumedItems * CREDITS_PER_WINDOW >= window) {
            link.grantCredit(id, consumedItems);
            consumedItems = 0;
        }
    }
}
