package org.balsambank.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.daemon.trace.RecentSpans;

/**
 * The HTTP server for operators.
 *
 * <p>Invariant: every path except {@code /healthz} and {@code /readyz} requires the operator token. Confined to the
 * decision loop.
 */
public final class OperatorServer {
    private static final int OK = 200;
    private static final int NOT_READY = 503;
    private static final String JSON = "application/json";
    private static final String BEARER = "Bearer ";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final byte[] token;
    private final Router router;
    private final HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the event loop
     * @param token the operator token
     * @param ready returns whether the VM is ready for requests
     */
    public OperatorServer(final Vertx vertx, final String token, final BooleanSupplier ready) {
        this.token = token.getBytes(StandardCharsets.UTF_8);
        Objects.requireNonNull(ready);
        router = Router.router(vertx);
        router.get("/healthz").handler(context -> context.response().end("ok\n"));
        router.get("/readyz").handler(context -> respondReady(context, ready.getAsBoolean()));
        router.route().handler(this::requireToken);
        server = vertx.createHttpServer().requestHandler(router);
    }

    /**
     * Returns the router, for adding routes.
     *
     * @return the router; all routes added to it require the token
     */
    public Router router() {
        return router;
    }

    /**
     * Adds a GET route for a text.
     *
     * @param path the request path of the route
     * @param contentType the media type
     * @param text renders the text at each request
     */
    public void addTextRoute(final String path, final String contentType, final Supplier<String> text) {
        router.get(path).handler(context -> context.response()
                .putHeader("Content-Type", contentType)
                .end(text.get()));
    }

    /**
     * Adds a GET route for the spans of a trace.
     *
     * @param spans the recent spans of this VM
     */
    public void addTraceRoute(final RecentSpans spans) {
        router.get("/traces/:id").handler(context -> {
            final ObjectNode body = MAPPER.createObjectNode();
            final ArrayNode list = body.putArray("spans");
            spans.ofTrace(context.pathParam("id")).forEach(span -> describe(list.addObject(), span));
            context.response().putHeader("Content-Type", JSON).end(body.toString());
        });
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
     * Closes the server and its connections.
     *
     * @return completes when all connections are closed
     */
    public Future<Void> close() {
        return server.close();
    }

    private static void respondReady(final RoutingContext context, final boolean ready) {
        context.response().setStatusCode(ready ? OK : NOT_READY).end(ready ? "ready\n" : "not ready\n");
    }

    private void requireToken(final RoutingContext context) {
        final String header = context.request().getHeader("Authorization");
        final String given = header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
        if (MessageDigest.isEqual(given.getBytes(StandardCharsets.UTF_8), token)) {
            context.next();
            return;
        }
        ResponseWriter.writeError(
                context.response(),
                new BalsambankException(ErrorKind.UNAUTHENTICATED, "the operators' token is missing or wrong"));
    }

    private static void describe(final ObjectNode json, final SpanData span) {
        json.put("name", span.getName());
        json.put("spanId", span.getSpanId());
        json.put("parentSpanId", span.getParentSpanId());
        json.put("vm", span.getResource().getAttribute(RecentSpans.VM_ID_ATTRIBUTE));
        json.put("startEpochNanos", span.getStartEpochNanos());
        json.put("durationNanos", span.getEndEpochNanos() - span.getStartEpochNanos());
        final ObjectNode attributes = json.putObject("attributes");
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), String.valueOf(value)));
    }
}
