package org.balsambank.gateway.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.CallerResponder;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.request.RequestExecution;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.gateway.target.ResponseSink;
import org.balsambank.gateway.target.TargetConnectionPools;

/**
 * One request of a connection and its answer.
 *
 * <p>Confined to the decision loop.
 */
final class CallExchange implements CallerResponder, TargetSender, ResponseSink {
    private final CallerContext shared;
    private final CallerConnection connection;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final ByteBuf body;
    private final RequestAttributes facts;
    private final RequestExecution run;
    private TargetConnectionPools.Sending sending;
    private boolean headWritten;
    private boolean chunked;
    private boolean keep;
    private boolean over;

    /**
     * Creates an exchange that has not begun.
     *
     * @param shared what all connections share
     * @param connection the connection
     * @param context writes to it
     * @param request the head of the request
     * @param body the whole body
     * @param arrivedNanos when the head arrived
     */
    CallExchange(
            final CallerContext shared,
            final CallerConnection connection,
            final ChannelHandlerContext context,
            final HttpRequest request,
            final ByteBuf body,
            final long arrivedNanos) {
        this.shared = Objects.requireNonNull(shared);
        this.connection = Objects.requireNonNull(connection);
        this.context = Objects.requireNonNull(context);
        this.request = Objects.requireNonNull(request);
        this.body = Objects.requireNonNull(body);
        this.facts = shared.dialect().read(request, body, arrivedNanos);
        this.run = shared.core().newRequest(facts, this, this);
    }

    /**
     * Begins.
     */
    void start() {
        run.start();
    }

    /**
     * The caller has left.
     */
    void callerGone() {
        over = true;
        run.callerGone();
    }

    /**
     * The caller reads again.
     */
    void resume() {
        if (sending != null) {
            sending.resume();
        }
    }

    @Override
    public void reject(final ErrorKind kind, final Optional<Duration> retryAfter) {
        if (over) {
            return;
        }
        over = true;
        final boolean stay = connection.keepAlive(request);
        final FullHttpResponse answer = shared.dialect().refusal(kind, retryAfter);
        if (!stay) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(answer);
        connection.answered(stay);
    }

    @Override
    public void abort() {
        if (over) {
            return;
        }
        if (!headWritten) {
            reject(ErrorKind.TARGET_LOST, Optional.empty());
            return;
        }
        over = true;
        connection.broken();
    }

    @Override
    public AttemptHandle send(final OutgoingAttempt outgoing, final AttemptListener listener) {
        sending = shared.pools().send(outgoing, facts.id(), request, body, this, listener);
        return sending;
    }

    @Override
    public void head(final HttpResponse answer) {
        if (over) {
            return;
        }
        headWritten = true;
        keep = connection.keepAlive(request);
        final HttpResponse head = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), shared.dialect().incoming(answer));
        final HttpHeaders headers = head.headers();
        if (HttpUtil.isContentLengthSet(answer)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(answer));
        } else if (!bodiless(answer)) {
            chunked = request.protocolVersion().isKeepAliveDefault();
            if (chunked) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                keep = false;
            }
        }
        if (!keep) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.write(head);
    }

    private boolean bodiless(final HttpResponse answer) {
        final int status = answer.status().code();
        return request.method().equals(HttpMethod.HEAD)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    @Override
    public void piece(final ByteBuf piece, final boolean last) {
        if (over) {
            piece.release();
            return;
        }
        if (!last) {
            context.writeAndFlush(new DefaultHttpContent(piece));
            return;
        }
        over = true;
        context.writeAndFlush(new DefaultLastHttpContent(piece));
        connection.answered(keep);
    }

    @Override
    public boolean writable() {
        return context.channel().isWritable();
    }
}
