package org.balsambank.gateway.target;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers of one connection, and knows when the request was one whose answer has no body.
 *
 * <p>Confined to the decision loop.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private boolean bodiless;

    /**
     * Creates a decoder.
     */
    StrictResponseDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /**
     * Sets whether the next answer has no body whatever its head says.
     *
     * @param none true if so
     */
    void bodiless(final boolean none) {
        bodiless = none;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("two lengths");
    }
}
