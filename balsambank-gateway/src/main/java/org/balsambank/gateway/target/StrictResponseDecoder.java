package org.balsambank.gateway.target;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of one connection, including those that have no body because of their request method.
 *
 * <p>Confined to the decision loop.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private boolean noBody;
    private boolean inputEnded;

    /**
     * Creates a decoder that expects response bodies.
     */
    StrictResponseDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /**
     * Sets whether the next response has no body regardless of its headers.
     *
     * @param noBody true for the response to a HEAD request
     */
    void noBody(final boolean noBody) {
        this.noBody = noBody;
    }

    /**
     * Returns whether the target has ended its side of the connection.
     *
     * @return true once all bytes of the target were read and its end of the stream after them; false after a reset
     */
    boolean inputEnded() {
        return inputEnded;
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) throws Exception {
        inputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(context, event);
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return noBody || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }
}
