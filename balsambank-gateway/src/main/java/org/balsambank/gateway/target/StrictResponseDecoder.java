package org.balsambank.gateway.target;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.port.JoinedHead;
import org.balsambank.core.port.ResponseStatus;

/**
 * Decodes the responses of one connection, including those that have no body because of their request method.
 *
 * <p>Invariants: bytes are decoded only while a response is due, so a part of a response that arrived before is never
 * completed by a later one; a head that was put together from two fails, and so does one with a status that HTTP does
 * not have. Confined to the decision loop.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private boolean responseDue;
    private boolean noBody;
    private boolean inputEnded;

    /**
     * Creates a decoder to which no response is due.
     */
    StrictResponseDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /**
     * Begins to decode, as a request is sent.
     *
     * @param noBody whether its response has no body regardless of the headers, as that of a HEAD request
     */
    void expectResponse(final boolean noBody) {
        this.noBody = noBody;
        responseDue = true;
    }

    /**
     * Ends decoding, as the response to the request is complete.
     *
     * @return whether bytes have arrived behind the response
     */
    boolean endResponse() {
        responseDue = false;
        return actualReadableBytes() > 0;
    }

    /**
     * Returns the bytes that have arrived and are not decoded yet.
     *
     * @return the bytes, not to be changed; valid until this decoder is called again
     */
    ByteBuf unreadBytes() {
        return internalBuffer();
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
    protected void decode(final ChannelHandlerContext context, final ByteBuf in, final List<Object> out)
            throws Exception {
        if (!responseDue) {
            in.skipBytes(in.readableBytes());
            throw new UnsolicitedBytesException();
        }
        final int decodedBefore = out.size();
        super.decode(context, in, out);
        out.subList(decodedBefore, out.size()).forEach(StrictResponseDecoder::checkHead);
    }

    @Override
    protected HttpMessage createMessage(final String[] initialLine) {
        if (!ResponseStatus.valid(initialLine[1])) {
            throw new DecoderException("an invalid status");
        }
        return super.createMessage(initialLine);
    }

    private static void checkHead(final Object decoded) {
        if (decoded instanceof HttpResponse head && holdsAnotherResponse(head)) {
            head.setDecoderResult(DecoderResult.failure(new DecoderException("a part of another response")));
        }
    }

    /**
     * Returns whether a head was put together from a part of one response and the beginning of another.
     *
     * @param head the head
     * @return true if another status line stands in it after its own, or its version is none that targets speak
     */
    static boolean holdsAnotherResponse(final HttpResponse head) {
        final HttpVersion version = head.protocolVersion();
        final boolean known = version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
        return !known || JoinedHead.matches(head.status().reasonPhrase(), head.headers());
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

    /** Thrown if bytes arrive while no response is due. Immutable and thread-safe. */
    static final class UnsolicitedBytesException extends DecoderException {
        private static final long serialVersionUID = 1L;

        private UnsolicitedBytesException() {
            super("bytes while no response is due");
        }
    }
}
