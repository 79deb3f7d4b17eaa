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
 * <p>Confined to the decision loop. Invariants: the answer completes only after an end mark that counts all its items;
 * the items that wait for the subscriber never exceed the window.
 *
 * @param <A> the type of an item of the answer
 */
final class OutboundCall<A extends Message> {
    private static final int CREDITS_PER_WINDOW = 2;

    private final PeerMethod<?, A> method;
    private final ByteString request;
    private final int window;
    private final UnicastProcessor<A> items = UnicastProcessor.create();
    private OutboundLink link;
    private long id;
    private long received;
    private int consumed;
    private boolean sent;

    /**
     * Creates a call.
     *
     * @param method the call
     * @param request the encoded request
     * @param window the number of items that may wait for the subscriber
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
     * @param newId the number of the call on the link
     */
    void bind(final OutboundLink newLink, final long newId) {
        link = newLink;
        id = newId;
    }

    /**
     * Returns the items. The subscriber's demand becomes credit.
     *
     * @return the answer
     */
    Flowable<A> answer() {
        return items.doOnNext(ignored -> consume()).doOnCancel(() -> link.cancel(id, sent));
    }

    /**
     * Returns the frame that starts the call, which counts as sent from now on.
     *
     * @return the frame's content
     */
    PeerCall start() {
        sent = true;
        return PeerCall.newBuilder()
                .setId(id)
                .setMethod(method.number())
                .setRequest(request)
                .setCredit(window)
                .build();
    }

    /**
     * Takes an item.
     *
     * @param item the frame's content
     * @return false if the item is out of order or unreadable
     */
    boolean onItem(final PeerItem item) {
        if (item.getSequence() != received) {
            return false;
        }
        try {
            final A answer = method.responseParser().parseFrom(item.getAnswer());
            received++;
            items.onNext(answer);
            return true;
        } catch (final InvalidProtocolBufferException e) {
            return false;
        }
    }

    /**
     * Takes the end mark.
     *
     * @param end the frame's content
     */
    void onEnd(final PeerEnd end) {
        if (end.getItems() == received) {
            items.onComplete();
        } else {
            fail(new PeerException(Reason.LOST, "the answer of " + method.name() + " has gaps"));
        }
    }

    /**
     * Ends the call with an error.
     *
     * @param error the error
     */
    void fail(final Throwable error) {
        items.onError(error);
    }

    /**
     * Ends the call because its link is gone.
     *
     * @param cause why
     */
    void linkClosed(final String cause) {
        fail(new PeerException(sent ? Reason.LOST : Reason.NOT_SENT, method.name() + ": " + cause));
    }

    private void consume() {
        consumed++;
        if (consumed * CREDITS_PER_WINDOW >= window) {
            link.credit(id, consumed);
            consumed = 0;
        }
    }
}
