package org.balsambank.gateway.target;

import java.util.Objects;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.ResponseHead;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.gateway.Dialect;

/**
 * One attempt to run a request on a target: the request sent and the response received.
 *
 * <p>Invariant: the listener receives exactly one end, or none after a cancel. Confined to the decision loop.
 */
final class TargetAttempt implements TargetSender.AttemptHandle {
    private static final int MAX_BUFFERED_BYTES = 1_048_576;
    private static final int MAX_BUFFER_COMPONENTS = 1_024;
    private static final String EVENT_STREAM = "text/event-stream";

    private final Dialect dialect;
    private final RequestId id;
    private final HttpRequest request;
    private final HttpHeaders headers;
    private final ByteBuf body;
    private final boolean buffered;
    private final ResponseSink sink;
    private final AttemptListener listener;
    private TargetConnection connection;
    private HttpResponse head;
    private CompositeByteBuf buffer;
    private EventStreamTail streamTail;
    private Optional<SwallowedResponse> foreignBody = Optional.empty();
    private boolean accepted;
    private boolean headForwarded;
    private boolean chunkSeen;
    private boolean written;
    private boolean ended;

    /**
     * Creates an attempt that is not started.
     *
     * @param dialect the header names and message formats
     * @param id the id of the request
     * @param request the head of the caller's request
     * @param headers the headers for the target
     * @param body the body; its reference count is not taken over
     * @param buffered whether the response is buffered completely before any of it is passed on
     * @param sink receives the response
     * @param listener receives the events of the attempt
     */
    TargetAttempt(
            final Dialect dialect,
            final RequestId id,
            final HttpRequest request,
            final HttpHeaders headers,
            final ByteBuf body,
            final boolean buffered,
            final ResponseSink sink,
            final AttemptListener listener) {
        this.dialect = Objects.requireNonNull(dialect);
        this.id = Objects.requireNonNull(id);
        this.request = Objects.requireNonNull(request);
        this.headers = Objects.requireNonNull(headers);
        this.body = Objects.requireNonNull(body);
        this.buffered = buffered;
        this.sink = Objects.requireNonNull(sink);
        this.listener = Objects.requireNonNull(listener);
    }

    /**
     * Returns the id of the request.
     *
     * @return the id, the same for all attempts of the request
     */
    RequestId id() {
        return id;
    }

    /**
     * Sets the connection.
     *
     * @param open the connection that carries the request
     */
    void setConnection(final TargetConnection open) {
        connection = open;
    }

    /**
     * Returns whether the request may still be sent.
     *
     * @return false after a cancel or an end, or if the caller has left; in the latter case a cancel follows
     */
    boolean wanted() {
        return !ended && sink.connected();
    }

    /**
     * Returns whether the response has no body regardless of its headers.
     *
     * @return true for HEAD
     */
    boolean hasNoBody() {
        return request.method().equals(HttpMethod.HEAD);
    }

    /**
     * Returns whether the response being read belongs to another request.
     *
     * @return true until the end of that response
     */
    boolean foreignResponse() {
        return foreignBody.isPresent();
    }

    /**
     * Returns whether the caller's connection is writable.
     *
     * @return false while the caller's write buffer is full
     */
    boolean writable() {
        return sink.writable();
    }

    /**
     * Writes the request to a channel.
     *
     * @param channel the open channel
     */
    void write(final Channel channel) {
        final DefaultFullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate());
        copy.headers().set(headers);
        if (body.isReadable() || hasLength()) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        written = true;
        channel.writeAndFlush(copy);
    }

    private boolean hasLength() {
        return request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /**
     * Handles the head of a response.
     *
     * @param received the head
     * @return false if the response belongs to another request
     */
    boolean head(final HttpResponse received) {
        if (!dialect.belongsTo(received, id)) {
            foreignBody = Optional.of(new SwallowedResponse(id));
            return false;
        }
        head = received;
        final ResponseHead parsed = dialect.parseResponseHead(received);
        listener.headArrived(parsed);
        if (ended) {
            return true;
        }
        if (isEventStream(received) && !hasNoBody()) {
            streamTail = new EventStreamTail();
        }
        if (buffered) {
            buffer = Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS);
        } else {
            accepted = listener.head(parsed);
        }
        return true;
    }

    /**
     * Handles a chunk of the body of a response to another request. After the last one, the response to this one may
     * follow.
     *
     * @param chunk the bytes; not released
     * @return false if the response to this request was read as a part of that body, so that no other follows
     */
    boolean foreignChunk(final HttpContent chunk) {
        if (foreignBody.orElseThrow().endsIn(chunk)) {
            return false;
        }
        if (chunk instanceof LastHttpContent) {
            foreignBody = Optional.empty();
        }
        return true;
    }

    /**
     * Handles a chunk of the body.
     *
     * @param chunk the bytes; released by this method
     */
    void chunk(final ByteBuf chunk) {
        if (ended || head == null) {
            chunk.release();
            return;
        }
        if (streamTail != null) {
            streamTail.append(chunk);
        }
        if (buffer != null && buffer.readableBytes() + chunk.readableBytes() <= MAX_BUFFERED_BYTES) {
            buffer.addComponent(true, chunk);
            return;
        }
        if (buffer != null) {
            flushBuffer(false);
        }
        forward(chunk, false);
    }

    /**
     * Handles the last chunk of the body. A stream that ends inside an event was broken off.
     *
     * @param chunk the bytes; released by this method
     * @return false if the response was broken off, so that the connection must not be reused
     */
    boolean lastChunk(final ByteBuf chunk) {
        if (ended || head == null) {
            chunk.release();
            return true;
        }
        if (streamTail != null) {
            streamTail.append(chunk);
        }
        if (endsInsideEvent()) {
            chunk.release();
            connectionLost();
            return false;
        }
        if (buffer != null) {
            buffer.addComponent(true, chunk);
            flushBuffer(true);
        } else {
            forward(chunk, true);
        }
        finish(AttemptEnd.COMPLETE);
        return true;
    }

    private static boolean isEventStream(final HttpResponse response) {
        final String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        return type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    private boolean endsInsideEvent() {
        if (streamTail == null || streamTail.endsWithBlankLine()) {
            return false;
        }
        final boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        return !framed || !streamTail.empty();
    }

    private void flushBuffer(final boolean last) {
        final ByteBuf content = buffer;
        buffer = null;
        accepted = listener.head(dialect.parseResponseHead(head));
        forward(content, last);
    }

    private void forward(final ByteBuf chunk, final boolean last) {
        if (chunk.isReadable() || last && !chunkSeen) {
            chunkSeen = true;
            listener.chunk();
        }
        if (!accepted) {
            chunk.release();
            return;
        }
        if (!headForwarded) {
            headForwarded = true;
            sink.head(head);
        }
        sink.chunk(chunk, last);
    }

    /**
     * Handles a closed connection or a protocol violation.
     */
    void connectionLost() {
        if (ended) {
            return;
        }
        if (connection != null) {
            listener.lossInDoubt(connection.checkLoss());
        }
        finish(accepted ? AttemptEnd.BROKEN : AttemptEnd.LOST);
    }

    /**
     * Handles a failure to get a connection.
     */
    void notSent() {
        if (!ended) {
            finish(AttemptEnd.NOT_SENT);
        }
    }

    /** Handles an error of this VM in the attempt. The request counts as lost if a part of it may have been written. */
    void failed() {
        if (written) {
            connectionLost();
        } else {
            notSent();
        }
    }

    @Override
    public boolean cancel() {
        if (!ended) {
            ended = true;
            release();
            if (connection != null) {
                connection.cancel();
            }
        }
        return written;
    }

    private void finish(final AttemptEnd result) {
        ended = true;
        release();
        listener.ended(result);
    }

    private void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }

    /** Reads what has arrived of the response by now, or a part of it, unless the caller is slower than the target. */
    void readArrived() {
        if (connection != null && !ended && writable()) {
            connection.readArrived();
        }
    }

    /** Resumes reading after the caller's connection became writable again. */
    void resume() {
        if (connection != null && !ended) {
            connection.resume();
        }
    }
}
