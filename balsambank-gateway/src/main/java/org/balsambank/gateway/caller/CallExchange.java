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
 * One request of a connection and its response.
 *
 * <p>Confined to the decision loop.
 */
final class CallExchange implements CallerResponder, TargetSender, ResponseSink {
    private final CallerContext shared;
    private final CallerConnection connection;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final ByteBuf body;
    private final RequestAttributes attributes;
    private final RequestExecution execution;
    private TargetConnectionPools.Attempt attempt;
    private boolean headWritten;
    private boolean framed;
    private boolean keepAlive;
    private boolean finished;

    /**
     * Creates an exchange that is not started.
     *
     * @param shared the state shared by all connections
     * @param connection the connection of the caller
     * @param context the channel context, for writing
     * @param request the head of the request
     * @param body the complete body
     * @param arrivedNanos the monotonic time when the head arrived
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
        this.attributes = shared.dialect().parseRequest(request, body, arrivedNanos);
        this.execution = shared.core().newRequest(attributes, this, this);
    }

    /**
     * Starts to process the request, unless it has ended.
     */
    void start() {
        if (!finished) {
            execution.start();
        }
    }

    /**
     * Ends the exchange because the caller closed the connection; nothing more is written.
     */
    void callerGone() {
        finished = true;
        execution.callerGone();
    }

    /**
     * Ends the exchange because this VM exits, after what has arrived of the response by now was read.
     */
    void vmExits() {
        if (attempt != null) {
            attempt.readArrived();
        }
        execution.vmExits();
    }

    /**
     * Resumes reading from the target after the caller's connection became writable again.
     */
    void resume() {
        if (attempt != null) {
            attempt.resume();
        }
    }

    @Override
    public void reject(final ErrorKind kind, final Optional<Duration> retryAfter) {
        if (finished) {
            return;
        }
        finished = true;
        final boolean keepOpen = connection.keepAlive(request);
        final FullHttpResponse response = shared.dialect().errorResponse(kind, retryAfter);
        if (!keepOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(response);
        connection.responseWritten(keepOpen);
    }

    @Override
    public void abort() {
        if (finished) {
            return;
        }
        if (!headWritten) {
            reject(ErrorKind.TARGET_LOST, Optional.empty());
            return;
        }
        finished = true;
        connection.breakOff(framed);
    }

    @Override
    public AttemptHandle send(final OutgoingAttempt outgoing, final AttemptListener listener) {
        attempt = shared.pools().send(outgoing, attributes.id(), request, body, this, listener);
        return attempt;
    }

    @Override
    public void head(final HttpResponse response) {
        if (finished) {
            return;
        }
        headWritten = true;
        keepAlive = connection.keepAlive(request);
        final HttpResponse head = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, response.status(), shared.dialect().callerResponseHeaders(response));
        final HttpHeaders headers = head.headers();
        framed = true;
        if (HttpUtil.isContentLengthSet(response)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(response));
        } else if (!hasNoBody(response)) {
            framed = request.protocolVersion().isKeepAliveDefault();
            if (framed) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                keepAlive = false;
            }
        }
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.write(head);
    }

    private boolean hasNoBody(final HttpResponse response) {
        final int status = response.status().code();
        return request.method().equals(HttpMethod.HEAD)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    @Override
    public void chunk(final ByteBuf chunk, final boolean last) {
        if (finished) {
            chunk.release();
            return;
        }
        if (!last) {
            context.writeAndFlush(new DefaultHttpContent(chunk));
            return;
        }
        finished = true;
        final boolean keepOpen = keepAlive && connection.keepAlive(request);
        context.writeAndFlush(new DefaultLastHttpContent(chunk));
        connection.responseWritten(keepOpen);
    }

    @Override
    public boolean writable() {
        return context.channel().isWritable();
    }

    @Override
    public boolean connected() {
        return context.channel().isActive();
    }
}
