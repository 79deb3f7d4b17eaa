package org.balsambank.gateway.caller;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Encodes the responses of one connection. Whether a response has a body depends on the method of its request (RFC
 * 9110, 6.4.1), which no response knows.
 *
 * <p>Invariant: no body is written to a HEAD request, whoever made the response, nor to a request whose method was not
 * read. Confined to the decision loop.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private Optional<HttpMethod> requestMethod = Optional.empty();

    /**
     * Sets the method of the request that the next response answers.
     *
     * @param method the method, empty if it was not read
     */
    void setRequestMethod(final Optional<HttpMethod> method) {
        requestMethod = method;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpResponse response) {
        final boolean bodyAllowed =
                requestMethod.filter(method -> !method.equals(HttpMethod.HEAD)).isPresent();
        return !bodyAllowed || super.isContentAlwaysEmpty(response);
    }

    /** Removes the length of a body that is not written, unless the caller knows that it asked for the head alone. */
    @Override
    protected void sanitizeHeadersBeforeEncode(final HttpResponse response, final boolean contentAlwaysEmpty) {
        super.sanitizeHeadersBeforeEncode(response, contentAlwaysEmpty);
        final boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (requestMethod.isEmpty() && !informational) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
    }
}
