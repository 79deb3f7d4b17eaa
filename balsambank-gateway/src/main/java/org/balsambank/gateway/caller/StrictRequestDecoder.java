package org.balsambank.gateway.caller;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.function.LongConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decodes the requests of one connection. Rejects a request with ambiguous framing, so that no part of its body can be
 * parsed as another request (request smuggling). Accounts for what it holds.
 *
 * <p>Confined to the decision loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** More than ordinary requests give in one read. */
    private static final int MANY_UNITS = 256;
    /** Less than a part of an ordinary request is long. */
    private static final int SHORT_UNIT_BYTES = 32;

    private final ClientAccount account;
    private final IntConsumer onBytes;
    private final LongConsumer onWastefulRead;
    private Optional<HttpMethod> methodBeingRead = Optional.empty();

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes the maximum size of the request line and of the headers, in bytes
     * @param account what the connection holds
     * @param onBytes called with the number of bytes of each read
     * @param onWastefulRead called after a read that gave very many short fields, chunks or requests, with the time
     *     that it took, in nanoseconds
     */
    StrictRequestDecoder(
            final int maxHeaderBytes,
            final ClientAccount account,
            final IntConsumer onBytes,
            final LongConsumer onWastefulRead) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setHeadersFactory(AccountedHeaders.factory(account, DefaultHttpHeadersFactory.headersFactory()))
                .setTrailersFactory(AccountedHeaders.factory(account, DefaultHttpHeadersFactory.trailersFactory()))
                .setStrictLineParsing(true));
        this.account = Objects.requireNonNull(account);
        this.onBytes = Objects.requireNonNull(onBytes);
        this.onWastefulRead = Objects.requireNonNull(onWastefulRead);
    }

    /**
     * Returns the method of the request whose head is incomplete.
     *
     * @return the method; empty if its request line is incomplete, or if no head is being read
     */
    Optional<HttpMethod> methodBeingRead() {
        return methodBeingRead;
    }

    /**
     * Returns the method of a decoded request.
     *
     * @param request the request, valid or not
     * @return the method, empty if its request line is invalid
     */
    static Optional<HttpMethod> method(final HttpRequest request) {
        return request instanceof UnreadRequest ? Optional.empty() : Optional.of(request.method());
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) throws Exception {
        if (!(message instanceof ByteBuf read)) {
            super.channelRead(context, message);
            return;
        }
        final int size = read.readableBytes();
        final long beganNanos = System.nanoTime();
        onBytes.accept(size);
        account.takeDecodedUnits();
        super.channelRead(context, message);
        account.setBuffered(internalBuffer().capacity());
        final int units = account.takeDecodedUnits();
        if (units > MANY_UNITS && (long) units * SHORT_UNIT_BYTES > size) {
            onWastefulRead.accept(System.nanoTime() - beganNanos);
        }
    }

    @Override
    protected void decode(final ChannelHandlerContext context, final ByteBuf in, final List<Object> out)
            throws Exception {
        account.unitDecoded();
        final int decodedBefore = out.size();
        super.decode(context, in, out);
        if (out.subList(decodedBefore, out.size()).stream().anyMatch(HttpRequest.class::isInstance)) {
            methodBeingRead = Optional.empty();
        }
    }

    @Override
    protected HttpMessage createMessage(final String[] initialLine) throws Exception {
        final HttpMessage message = super.createMessage(initialLine);
        methodBeingRead = Optional.of(((HttpRequest) message).method());
        return message;
    }

    @Override
    protected HttpMessage createInvalidMessage() {
        return new UnreadRequest();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }

    /** Stands for a request whose request line is invalid, so that its method is unknown. Confined like the decoder. */
    static final class UnreadRequest extends DefaultFullHttpRequest {
        private UnreadRequest() {
            super(HttpVersion.HTTP_1_0, HttpMethod.GET, "/");
        }
    }
}
