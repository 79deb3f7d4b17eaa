package org.balsambank.gateway.target;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.port.TargetNotice;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.request.ResponseHead;
import org.balsambank.gateway.Dialect;

/**
 * A minimal dialect for response tests: one header carries the request id, every response counts as sealed. A response
 * without an id belongs to the request that waits if it is no success.
 */
final class TestDialect implements Dialect {
    static final String ID = "Id";

    private static final int FIRST_ERROR = 400;

    @Override
    public Optional<ErrorKind> validate(final HttpRequest head) {
        throw new UnsupportedOperationException("not used in this test");
    }

    @Override
    public Optional<RequestId> requestId(final HttpRequest head) {
        throw new UnsupportedOperationException("not used in this test");
    }

    @Override
    public RequestAttributes parseRequest(final HttpRequest head, final ByteBuf body, final long arrivedNanos) {
        throw new UnsupportedOperationException("not used in this test");
    }

    @Override
    public HttpHeaders targetRequestHeaders(final HttpRequest head, final OutgoingAttempt outgoing) {
        return head.headers();
    }

    @Override
    public ResponseHead parseResponseHead(final HttpResponse head) {
        return new ResponseHead(head.status().code(), false, true, false, TargetNotice.NONE);
    }

    @Override
    public boolean belongsTo(final HttpResponse head, final RequestId id) {
        final String responseId = head.headers().get(ID);
        return responseId == null
                ? head.status().code() >= FIRST_ERROR
                : id.value().equals(responseId);
    }

    @Override
    public boolean hasRequestId(final HttpResponse head) {
        return head.headers().contains(ID);
    }

    @Override
    public long attributeBytes(final HttpRequest head) {
        throw new UnsupportedOperationException("not used in this test");
    }

    @Override
    public HttpHeaders callerResponseHeaders(final HttpResponse head) {
        return head.headers();
    }

    @Override
    public Optional<Duration> keepAliveTimeout(final HttpResponse head) {
        return Optional.of(Duration.ofSeconds(30));
    }

    @Override
    public FullHttpResponse errorResponse(final ErrorKind kind, final Optional<Duration> retryAfter) {
        throw new UnsupportedOperationException("not used in this test");
    }
}
