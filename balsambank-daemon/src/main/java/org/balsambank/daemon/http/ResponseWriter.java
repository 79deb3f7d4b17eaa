package org.balsambank.daemon.http;

import java.util.Set;
import java.util.function.Consumer;

import io.opentelemetry.api.trace.Span;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Writes the events of a response to a caller.
 *
 * <p>Invariants: an incomplete response never ends like a complete one; no event is requested while the write queue of
 * the caller's connection is full. Confined to the decision loop.
 */
final class ResponseWriter implements Subscriber<RelayEvent> {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length");

    private final HttpServerResponse response;
    private final Span span;
    private final Consumer<String> onEnd;
    private final Runnable onWritten;
    private Subscription subscription;
    private boolean headWritten;
    private boolean eventStream;
    private boolean finished;

    /**
     * Creates a writer for one response.
     *
     * @param response the HTTP response
     * @param span the span of the request
     * @param onEnd called once with the outcome, the value of a metric tag
     * @param onWritten called once when the system has taken over all bytes of the response, or none will be written
     *     any more
     */
    ResponseWriter(
            final HttpServerResponse response,
            final Span span,
            final Consumer<String> onEnd,
            final Runnable onWritten) {
        this.response = response;
        this.span = span;
        this.onEnd = onEnd;
        this.onWritten = onWritten;
    }

    @Override
    public void onSubscribe(final Subscription newSubscription) {
        subscription = newSubscription;
        response.closeHandler(ignored -> callerDisconnected());
        response.exceptionHandler(ignored -> callerDisconnected());
        response.drainHandler(ignored -> subscription.request(1));
        subscription.request(1);
    }

    @Override
    public void onNext(final RelayEvent event) {
        if (finished) {
            return;
        }
        if (event.hasHead()) {
            writeHead(event.getHead());
        } else if (event.hasChunk()) {
            response.write(Buffer.buffer(event.getChunk().getData().toByteArray()));
        }
        if (!response.writeQueueFull()) {
            subscription.request(1);
        }
    }

    @Override
    public void onError(final Throwable error) {
        if (finished) {
            return;
        }
        final BalsambankException cause = toBalsambankException(error);
        if (!headWritten) {
            writeError(cause);
            return;
        }
        finish(cause.kind().code());
        if (eventStream) {
            written(response.end("data: " + ErrorBody.json(cause) + "\n\n"));
        } else {
            written(response.reset());
        }
    }

    @Override
    public void onComplete() {
        if (finished) {
            return;
        }
        finish("ok");
        written(response.end());
    }

    /**
     * Writes an error response and ends the request. Nothing may have been written before.
     *
     * @param error the cause of the failure
     * @return completes when the response is written
     */
    Future<Void> writeError(final Throwable error) {
        final BalsambankException cause = toBalsambankException(error);
        finish(cause.kind().code());
        return written(writeError(response, cause));
    }

    /**
     * Writes an error response, unless the response has ended. Nothing may have been written before.
     *
     * @param response the HTTP response
     * @param error the error to report to the caller
     * @return completes when the response is written
     */
    static Future<Void> writeError(final HttpServerResponse response, final BalsambankException error) {
        if (response.ended() || response.closed()) {
            return Future.succeededFuture();
        }
        error.retryAfter().ifPresent(delay -> response.putHeader("Retry-After", ErrorBody.retryAfterSeconds(delay)));
        return response.setStatusCode(error.kind().status())
                .putHeader("Content-Type", "application/json")
                .end(ErrorBody.json(error));
    }

    private static BalsambankException toBalsambankException(final Throwable error) {
        return error instanceof BalsambankException known
                ? known
                : new BalsambankException(ErrorKind.INTERNAL, "internal error");
    }

    private void writeHead(final RelayHead head) {
        headWritten = true;
        response.setStatusCode(head.getStatus()).setChunked(true);
        for (final RelayHeader header : head.getHeadersList()) {
            if (!HOP_BY_HOP_HEADERS.contains(header.getName().toLowerCase(java.util.Locale.ROOT))) {
                response.putHeader(header.getName(), header.getValue());
            }
        }
        final String type = response.headers().get("content-type");
        eventStream = type != null && type.startsWith(EVENT_STREAM);
    }

    private void callerDisconnected() {
        if (!finished) {
            finish("caller_gone");
            subscription.cancel();
            onWritten.run();
        }
    }

    private Future<Void> written(final Future<Void> writing) {
        return writing.onComplete(ignored -> onWritten.run());
    }

    private void finish(final String outcome) {
        finished = true;
        span.setAttribute("outcome", outcome);
        span.end();
        onEnd.accept(outcome);
    }
}
