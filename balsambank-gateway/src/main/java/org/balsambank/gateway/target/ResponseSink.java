package org.balsambank.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer of a target that goes to the caller. Confined to the decision loop. */
public interface ResponseSink {
    /**
     * The head of the answer.
     *
     * @param head the head
     */
    void head(HttpResponse head);

    /**
     * A piece of the body.
     *
     * @param piece the bytes; the sink releases them
     * @param last whether the body ends with them
     */
    void piece(ByteBuf piece, boolean last);

    /**
     * Tells whether more pieces are welcome at once.
     *
     * @return false while the caller reads slowly
     */
    boolean writable();
}
