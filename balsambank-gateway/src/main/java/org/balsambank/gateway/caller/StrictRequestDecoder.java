package org.balsambank.gateway.caller;

import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes the requests of one connection. Rejects a request with ambiguous framing, so that no part of its body can be
 * parsed as another request (request smuggling).
 *
 * <p>Confined to the decision loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final IntConsumer onBytes;

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes the maximum size of the request line and of the headers, in bytes
     * @param onBytes called with the number of bytes of each read
     */
    StrictRequestDecoder(final int maxHeaderBytes, final IntConsumer onBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setStrictLineParsing(true));
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) throws Exception {
        if (message instanceof ByteBuf read) {
            onBytes.accept(read.readableBytes());
        }
        super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }
}
