package org.balsambank.gateway;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.request.ResponseHead;

/**
 * The header names and message formats of the callers and targets. Makes no decisions. Thread-safe.
 */
public interface Dialect {
    /**
     * Validates the head of a request.
     *
     * @param head the request line and the headers
     * @return the reason for refusing the request, or empty if the head is valid
     */
    Optional<ErrorKind> validate(HttpRequest head);

    /**
     * Returns the id that the caller gave a request.
     *
     * @param head the head, valid or not
     * @return the id, or empty if there is none
     */
    Optional<RequestId> requestId(HttpRequest head);

    /**
     * Parses a complete request.
     *
     * @param head the head, accepted by {@link #validate}
     * @param body the body; its reader index does not change
     * @param arrivedNanos the monotonic time when the head arrived
     * @return the fields that decisions need
     */
    RequestAttributes parseRequest(HttpRequest head, ByteBuf body, long arrivedNanos);

    /**
     * Builds the headers of a request to a target.
     *
     * @param head the head of the caller's request
     * @param outgoing the target and the parameters of the attempt
     * @return the headers for the target, without the framing headers
     */
    HttpHeaders targetRequestHeaders(HttpRequest head, OutgoingAttempt outgoing);

    /**
     * Parses the head of a response.
     *
     * @param head the status line and the headers
     * @return the fields that decisions need
     */
    ResponseHead parseResponseHead(HttpResponse head);

    /**
     * Returns whether a response belongs to a request.
     *
     * @param head the head of the response
     * @param id the id of the request
     * @return false if the response carries the id of another request
     */
    boolean belongsTo(HttpResponse head, RequestId id);

    /**
     * Returns whether a response names its request.
     *
     * @param head the head of the response
     * @return false if a copy of the response could not be told from a response to another request
     */
    boolean hasRequestId(HttpResponse head);

    /**
     * Estimates, without parsing it, what a request takes beyond its head and its body.
     *
     * @param head the head of the request
     * @return the heap that {@link #parseRequest} takes for values that callers repeat, in bytes
     */
    long attributeBytes(HttpRequest head);

    /**
     * Builds the headers of the response to the caller.
     *
     * @param head the head of the target's response
     * @return the headers without hop-by-hop headers and without the framing headers
     */
    HttpHeaders callerResponseHeaders(HttpResponse head);

    /**
     * Returns how long a target keeps an idle connection open.
     *
     * @param head the head of the target's response
     * @return the announced keep-alive timeout, or empty if there is none
     */
    Optional<Duration> keepAliveTimeout(HttpResponse head);

    /**
     * Builds an error response of this VM.
     *
     * @param kind the reason of the refusal or failure
     * @param retryAfter the delay before a retry, if a retry makes sense
     * @return the complete response, with its content length
     */
    FullHttpResponse errorResponse(ErrorKind kind, Optional<Duration> retryAfter);
}
