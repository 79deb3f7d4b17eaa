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
 * The names and formats that callers and targets use. Decides nothing. Thread-safe.
 */
public interface Dialect {
    /**
     * Checks the head of a request.
     *
     * @param head the head
     * @return why it can't be read, if so
     */
    Optional<ErrorKind> check(HttpRequest head);

    /**
     * Reads a whole request.
     *
     * @param head the head, found good by {@link #check}
     * @param body the body; its position does not change
     * @param arrivedNanos when the head arrived
     * @return what decisions need
     */
    RequestAttributes read(HttpRequest head, ByteBuf body, long arrivedNanos);

    /**
     * Makes the headers of a send.
     *
     * @param head the head of the caller's request
     * @param outgoing the send
     * @return the headers that the target gets, without those of the framing
     */
    HttpHeaders outgoing(HttpRequest head, OutgoingAttempt outgoing);

    /**
     * Reads the head of an answer.
     *
     * @param head the head
     * @return what decisions need
     */
    ResponseHead answer(HttpResponse head);

    /**
     * Tells whether an answer belongs to a request.
     *
     * @param head the head of the answer
     * @param id the request
     * @return false if it names another request
     */
    boolean belongs(HttpResponse head, RequestId id);

    /**
     * Makes the headers that the caller gets.
     *
     * @param head the head of a target's answer
     * @return the headers without those that concern one connection, and without those of the framing
     */
    HttpHeaders incoming(HttpResponse head);

    /**
     * Tells how long a target keeps a connection that is idle.
     *
     * @param head the head of its answer
     * @return the time, if it tells
     */
    Optional<Duration> keepAlive(HttpResponse head);

    /**
     * Makes a final answer of this VM.
     *
     * @param kind why the request is refused or has failed
     * @param retryAfter when to come back, if that is of use
     * @return the answer with its length
     */
    FullHttpResponse refusal(ErrorKind kind, Optional<Duration> retryAfter);
}
