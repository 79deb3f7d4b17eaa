package org.balsambank.daemon.http;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;

/**
 * Reads the complete body of a request, with a size limit and a time limit.
 *
 * <p>Confined to the decision loop.
 */
final class BodyReader {
    private final Vertx vertx;
    private final int maxBytes;
    private final long timeoutMillis;

    /**
     * Creates a reader.
     *
     * @param vertx the timers
     * @param maxBytes the maximum size of a body, in bytes
     * @param timeoutMillis the time limit for receiving a body, in milliseconds
     */
    BodyReader(final Vertx vertx, final int maxBytes, final long timeoutMillis) {
        this.vertx = vertx;
        this.maxBytes = maxBytes;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Reads a body.
     *
     * @param request the request whose head has arrived
     * @return the body; fails with {@code BODY_TOO_LARGE}, {@code SLOW_SENDER} or {@code MALFORMED_REQUEST}
     */
    Single<Buffer> read(final HttpServerRequest request) {
        return Single.create(emitter -> start(request, emitter));
    }

    private void start(final HttpServerRequest request, final SingleEmitter<Buffer> emitter) {
        final Buffer body = Buffer.buffer();
        final long timer = vertx.setTimer(
                timeoutMillis,
                id -> ReadTurn.then(
                        vertx,
                        () -> emitter.tryOnError(new BalsambankException(
                                ErrorKind.SLOW_SENDER, "the body did not arrive within " + timeoutMillis + " ms"))));
        emitter.setCancellable(() -> vertx.cancelTimer(timer));
        request.exceptionHandler(error -> emitter.tryOnError(
                new BalsambankException(ErrorKind.MALFORMED_REQUEST, "the body did not arrive whole")));
        request.handler(chunk -> {
            if (body.length() + chunk.length() > maxBytes) {
                emitter.tryOnError(new BalsambankException(
                        ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " B"));
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ignored -> emitter.onSuccess(body));
    }
}
