package org.balsambank.daemon.http;

import java.util.Objects;
import java.util.Optional;
import java.util.UUID;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.opentelemetry.api.trace.Span;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.request.RequestHandler;
import org.balsambank.core.request.Spans;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayEvent;

/**
 * The HTTP server for callers.
 *
 * <p>Invariant: each request gets exactly one response or a closed connection. Confined to the decision loop.
 */
public final class CallerServer {
    private static final String TRACE_ID_HEADER = "X-Trace-Id";
    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final String TRACE_PARENT = "traceparent";
    private static final String SPAN = "caller";
    private static final String METRIC = "balsambank.request";

    private final CallerLimits limits;
    private final RequestHandler handler;
    private final TimerService timer;
    private final Spans spans;
    private final MeterRegistry registry;
    private final BodyReader bodies;
    private final ConnectionTimeouts connections;
    private final OpenRequests open;
    private final HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the event loop
     * @param limits the limits on requests and connections
     * @param handler the request handler
     * @param timer the clock, for deadlines
     * @param spans opens the entry spans
     * @param registry the registry of the request timer
     */
    public CallerServer(
            final Vertx vertx,
            final CallerLimits limits,
            final RequestHandler handler,
            final TimerService timer,
            final Spans spans,
            final MeterRegistry registry) {
        this.limits = Objects.requireNonNull(limits);
        this.handler = Objects.requireNonNull(handler);
        this.timer = Objects.requireNonNull(timer);
        this.spans = Objects.requireNonNull(spans);
        this.registry = Objects.requireNonNull(registry);
        bodies = new BodyReader(vertx, limits.bodyBytes(), limits.sendTimeout().toMillis());
        connections = new ConnectionTimeouts(
                vertx, limits.sendTimeout().toMillis(), limits.idleTimeout().toMillis());
        open = new OpenRequests(vertx);
        server = vertx.createHttpServer(new HttpServerOptions()
                        .setMaxHeaderSize(limits.headerBytes())
                        .setMaxInitialLineLength(limits.headerBytes())
                        .setTcpNoDelay(true)
                        .setHttp2ClearTextEnabled(false))
                .requestHandler(this::handle)
                .invalidRequestHandler(CallerServer::rejectInvalid)
                .connectionHandler(connections::opened);
    }

    /**
     * Starts to listen.
     *
     * @param host the IP address
     * @param port the TCP port
     * @return completes when the server listens
     */
    public Completable listen(final String host, final int port) {
        return Completable.create(emitter -> server.listen(port, host)
                .onSuccess(ignored -> emitter.onComplete())
                .onFailure(emitter::tryOnError));
    }

    /**
     * Waits until the requests that callers have sent are answered, then closes the server and its connections. The
     * request handler must end its requests by itself.
     *
     * @return completes when all responses are written and all connections are closed
     */
    public Completable stop() {
        return open.stop().andThen(Completable.create(emitter -> server.close()
                .onSuccess(ignored -> emitter.onComplete())
                .onFailure(emitter::tryOnError)));
    }

    private void handle(final HttpServerRequest request) {
        open.enter();
        connections.requestArrived(request.connection());
        request.response().endHandler(ignored -> connections.responseEnded(request.connection()));
        final String parent =
                Optional.ofNullable(request.getHeader(TRACE_PARENT)).orElse("");
        final Span span = spans.open(SPAN, parent).setAttribute("path", request.path());
        final RequestId id = new RequestId(UUID.randomUUID().toString());
        final HttpServerResponse response = request.response();
        response.putHeader(TRACE_ID_HEADER, span.getSpanContext().getTraceId());
        response.putHeader(REQUEST_ID_HEADER, id.value());
        final Timer.Sample sample = Timer.start(registry);
        final ResponseWriter writer = new ResponseWriter(
                response, span, outcome -> sample.stop(registry.timer(METRIC, "outcome", outcome)), open::leave);
        bodies.read(request)
                .subscribe(
                        body -> Flowable.defer(() -> run(id, request, body, span))
                                .subscribe(writer),
                        error -> writer.writeError(error)
                                .onComplete(ignored -> request.connection().close()));
    }

    private Flowable<RelayEvent> run(
            final RequestId id, final HttpServerRequest request, final Buffer body, final Span span)
            throws BalsambankException {
        final long deadline = timer.nanoTime() + limits.answerTimeout().toNanos();
        return handler.handle(CallParser.parse(id, request, body, deadline, Spans.traceParent(span, "")));
    }

    private static void rejectInvalid(final HttpServerRequest request) {
        final Throwable cause = request.decoderResult().cause();
        final ErrorKind kind =
                cause instanceof TooLongFrameException ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            // The method is unknown, and a response to HEAD must not have a body.
            request.response().setStatusCode(kind.status()).end();
        } else {
            ResponseWriter.writeError(
                    request.response(), new BalsambankException(kind, "the head of the request is refused"));
        }
        request.connection().close();
    }
}
