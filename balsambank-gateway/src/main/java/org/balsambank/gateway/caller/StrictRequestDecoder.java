package org.balsambank.gateway.caller;

import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests of one connection. A request whose length is told twice or in an unknown way is a failure, so that
 * no part of it is taken for another request.
 *
 * <p>Confined to the decision loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final IntConsumer bytes;

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes the size of a head
     * @param bytes hears of the bytes that arrive
     */
    StrictRequestDecoder(final int maxHeaderBytes, final IntConsumer bytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setStrictLineParsing(true));
        this.bytes = bytes;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) throws Exception {
        if (message instanceof ByteBuf read) {
            bytes.accept(read.readableBytes());
        }
        super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("two lengths");
    }
}
