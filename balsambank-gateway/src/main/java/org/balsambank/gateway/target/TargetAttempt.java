package org.balsambank.gateway.target;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.request.AttemptEnd;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.gateway.Dialect;

/**
 * One request on its way to one target, and the answer on its way back.
 *
 * <p>Invariant: the listener hears of one end, or of none after a cancel. Confined to the decision loop.
 */
final class TargetAttempt implements TargetSender.AttemptHandle {
    private static final int MAX_WHOLE_BYTES = 1_048_576;
    private static final int MAX_PARTS = 1_024;

    private final Dialect dialect;
    private final RequestId id;
    private final HttpRequest request;
    private final HttpHeaders headers;
    private final ByteBuf body;
    private final boolean wholeFirst;
    private final ResponseSink sink;
    private final AttemptListener listener;
    private TargetConnection connection;
    private HttpResponse head;
    private CompositeByteBuf whole;
    private boolean foreign;
    private boolean accepted;
    private boolean headPassed;
    private boolean pieceSeen;
    private boolean over;

    /**
     * Creates a send that has not begun.
     *
     * @param dialect the names and formats
     * @param id the request
     * @param request the head of the caller's request
     * @param headers the headers that the target gets
     * @param body the body; the send takes no count of it
     * @param wholeFirst whether the answer is read whole before any of it is passed on
     * @param sink takes the answer
     * @param listener hears of the send
     */
    TargetAttempt(
            final Dialect dialect,
            final RequestId id,
            final HttpRequest request,
            final HttpHeaders headers,
            final ByteBuf body,
            final boolean wholeFirst,
            final ResponseSink sink,
            final AttemptListener listener) {
        this.dialect = Objects.requireNonNull(dialect);
        this.id = Objects.requireNonNull(id);
        this.request = Objects.requireNonNull(request);
        this.headers = Objects.requireNonNull(headers);
        this.body = Objects.requireNonNull(body);
        this.wholeFirst = wholeFirst;
        this.sink = Objects.requireNonNull(sink);
        this.listener = Objects.requireNonNull(listener);
    }

    /**
     * Notes the connection.
     *
     * @param open the connection that carries the send
     */
    void on(final TargetConnection open) {
        connection = open;
    }

    /**
     * Tells whether it is over.
     *
     * @return true after a cancel or an end
     */
    boolean cancelled() {
        return over;
    }

    /**
     * Tells whether its answer has no body whatever the head says.
     *
     * @return true for HEAD
     */
    boolean bodiless() {
        return request.method().equals(HttpMethod.HEAD);
    }

    /**
     * Tells whether the answer that is being read belongs to another request.
     *
     * @return true until that answer has ended
     */
    boolean foreign() {
        return foreign;
    }

    /**
     * Tells whether more pieces are welcome at once.
     *
     * @return false while the caller reads slowly
     */
    boolean writable() {
        return sink.writable();
    }

    /**
     * Writes the request.
     *
     * @param channel the open connection
     */
    void write(final Channel channel) {
        final DefaultFullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate());
        copy.headers().set(headers);
        if (body.isReadable() || hasLength()) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        channel.writeAndFlush(copy);
    }

    private boolean hasLength() {
        return request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /**
     * Takes the head of an answer.
     *
     * @param received the head
     *
     * @return false if it belongs to another request
     */
    boolean head(final HttpResponse received) {
        foreign = !dialect.belongs(received, id);
        if (foreign) {
            return false;
        }
        head = received;
        if (wholeFirst) {
            whole = Unpooled.compositeBuffer(MAX_PARTS);
        } else {
            accepted = listener.head(dialect.answer(received));
        }
        return true;
    }

    /**
     * The answer to another request has ended; its own may follow.
     */
    void foreignEnded() {
        foreign = false;
    }

    /**
     * Takes a piece of the body.
     *
     * @param piece the bytes, released here
     */
    void piece(final ByteBuf piece) {
        if (foreign || over || head == null) {
            piece.release();
            return;
        }
        if (whole != null && whole.readableBytes() + piece.readableBytes() <= MAX_WHOLE_BYTES) {
            whole.addComponent(true, piece);
            return;
        }
        if (whole != null) {
            passWhole(false);
        }
        pass(piece, false);
    }

    /**
     * Takes the last piece of the body.
     *
     * @param piece the bytes, released here
     */
    void last(final ByteBuf piece) {
        if (over || head == null) {
            piece.release();
            return;
        }
        if (whole != null) {
            whole.addComponent(true, piece);
            passWhole(true);
        } else {
            pass(piece, true);
        }
        end(AttemptEnd.COMPLETE);
    }

    private void passWhole(final boolean last) {
        final ByteBuf all = whole;
        whole = null;
        accepted = listener.head(dialect.answer(head));
        pass(all, last);
    }

    private void pass(final ByteBuf piece, final boolean last) {
        if (piece.isReadable() || last && !pieceSeen) {
            pieceSeen = true;
            listener.chunk();
        }
        if (!accepted) {
            piece.release();
            return;
        }
        if (!headPassed) {
            headPassed = true;
            sink.head(head);
        }
        sink.piece(piece, last);
    }

    /**
     * The connection has ended or spoken nonsense.
     */
    void lost() {
        if (over) {
            return;
        }
        end(accepted ? AttemptEnd.BROKEN : AttemptEnd.LOST);
    }

    /**
     * No connection could be had.
     */
    void notSent() {
        if (!over) {
            end(AttemptEnd.NOT_SENT);
        }
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        over = true;
        release();
        if (connection != null) {
            connection.close();
        }
    }

    private void end(final AttemptEnd how) {
        over = true;
        release();
        listener.ended(how);
    }

    private void release() {
        if (whole != null) {
            whole.release();
            whole = null;
        }
    }

    /** Reads on after the caller has caught up. */
    void resume() {
        if (connection != null && !over) {
            connection.resume();
        }
    }
}
