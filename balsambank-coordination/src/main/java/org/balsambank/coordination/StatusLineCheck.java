package org.balsambank.coordination;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import org.balsambank.core.port.ResponseStatus;

/**
 * Closes a connection on which a response with an invalid status begins, before the response is decoded.
 *
 * <p>The decoder of the HTTP client reads a sign, further digits and zeros as a part of the status, so that the status
 * it reports does not show how it was sent. Invariant: checks all informational responses and the first other one; the
 * connection must not carry more. Confined to the event loop of its connection.
 */
public final class StatusLineCheck extends ChannelInboundHandlerAdapter {
    /** The most characters kept of a line; a status stands before. */
    private static final int MAX_KEPT_CHARS = 64;

    private static final char INFORMATIONAL = '1';

    private final StringBuilder line = new StringBuilder();
    private boolean readingHeaders;
    private boolean done;

    private StatusLineCheck() {}

    /**
     * Checks the responses on a connection.
     *
     * @param connection a new connection of an HTTP client that sends one request on each
     */
    public static void install(final HttpConnection connection) {
        final ChannelPipeline pipeline = ((HttpClientConnectionInternal) connection)
                .channelHandlerContext()
                .pipeline();
        final ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
        pipeline.addBefore(codec.name(), StatusLineCheck.class.getName(), new StatusLineCheck());
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (done || !(message instanceof ByteBuf bytes) || check(bytes)) {
            context.fireChannelRead(message);
            return;
        }
        done = true;
        ReferenceCountUtil.release(message);
        context.fireExceptionCaught(new DecoderException("an invalid status"));
        context.close();
    }

    /** Returns whether no invalid status stands in the bytes. */
    private boolean check(final ByteBuf bytes) {
        for (int i = bytes.readerIndex(); i < bytes.writerIndex() && !done; i++) {
            final char next = (char) (bytes.getByte(i) & 0xff);
            if (next != '\n') {
                append(next);
            } else if (!endLine()) {
                return false;
            }
        }
        return true;
    }

    private void append(final char next) {
        // The decoder skips such characters before a status line.
        final boolean skipped = !readingHeaders && line.isEmpty() && next <= ' ';
        if (!skipped && next != '\r' && line.length() < MAX_KEPT_CHARS) {
            line.append(next);
        }
    }

    private boolean endLine() {
        final String text = line.toString();
        line.setLength(0);
        if (readingHeaders) {
            readingHeaders = !text.isEmpty();
            return true;
        }
        if (text.isEmpty()) {
            return true;
        }
        final String[] parts = text.split(" +", 3);
        if (parts.length < 2 || !ResponseStatus.valid(parts[1])) {
            return false;
        }
        readingHeaders = parts[1].charAt(0) == INFORMATIONAL;
        done = !readingHeaders;
        return true;
    }
}
