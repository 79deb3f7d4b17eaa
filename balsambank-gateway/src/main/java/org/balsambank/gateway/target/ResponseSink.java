package org.balsambank.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response of a target on its way to the caller. Confined to the decision loop. */
public interface ResponseSink {
    /**
     * Handles the head of the response.
     *
     * @param head the status line and the headers
     */
    void head(HttpResponse head);

    /**
     * Handles a chunk of the body.
     *
     * @param chunk the bytes; released by the sink
     * @param last whether this is the end of the body
     */
    void chunk(ByteBuf chunk, boolean last);

    /**
     * Returns whether the caller's connection is writable.
     *
     * @return false while the caller's write buffer is full
     */
    boolean writable();

    /**
     * Returns whether the caller's connection is open, as far as its bytes were read.
     *
     * @return false once the response is of no use
     */
    boolean connected();
}
