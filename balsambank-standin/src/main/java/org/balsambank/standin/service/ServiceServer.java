package org.balsambank.standin.service;

import java.util.LinkedHashMap;
import java.util.Map;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.balsambank.standin.http.Answers;
import org.balsambank.standin.http.HttpStandin;

/**
 * A stand-in for a plain service, which has no adapters. Counts its executions, so
 * that a duplicate execution is detectable.
 *
 * <p>Counts by the header {@code Idempotency-Key}, else {@code X-Call-Id}, else the field {@code id} of the body.
 * Counts separately by {@code X-Call-Id}, which a caller sets to a new value for each attempt.
 *
 * <p>Confined to its event loop.
 */
public final class ServiceServer extends HttpStandin {
    private static final int SERVER_ERROR = 500;
    private static final String NO_ID = "";
    private static final String CALL_ID = "X-Call-Id";

    private final int port;
    private final Map<String, Long> runs = new LinkedHashMap<>();
    private final Map<String, Long> attempts = new LinkedHashMap<>();

    private int bootCount = 1;
    private long total;
    private long running;
    private long runMillis;
    private long remainingEarlyCloses;
    private long remainingPartialCloses;
    private long remainingFailures;
    private long keysSeen;
    private long truncated;

    /**
     * Creates a service that is not started.
     *
     * @param port the TCP port on loopback
     */
    public ServiceServer(final int port) {
        super(port);
        this.port = port;
    }

    @Override
    protected void addControlRoutes(final Router router) {
        router.get("/control/runs").handler(call -> Answers.send(call, Answers.OK, runsJson()));
    }

    @Override
    protected void addRoutes(final Router router) {
        router.get("/load").handler(call -> Answers.send(call, Answers.OK, loadJson()));
        router.route().handler(this::run);
    }

    @Override
    protected void order(final JsonObject order) {
        runMillis = order.getLong("runMillis", runMillis);
        remainingEarlyCloses = order.getLong("closeEarly", remainingEarlyCloses);
        remainingPartialCloses = order.getLong("closePartial", remainingPartialCloses);
        remainingFailures = order.getLong("fail", remainingFailures);
        if (order.getBoolean("restart", false)) {
            bootCount++;
        }
    }

    @Override
    protected JsonObject stats() {
        return new JsonObject()
                .put("total", total)
                .put("distinct", runs.size())
                .put("ranTwice", countRanTwice())
                .put("running", running)
                .put("cut", truncated)
                .put("keysSeen", keysSeen);
    }

    private JsonObject loadJson() {
        return new JsonObject()
                .put("bootId", "service-" + port + "-" + bootCount)
                .put("running", running)
                .put("waiting", 0)
                .put("adapters", new JsonObject());
    }

    private JsonObject runsJson() {
        final JsonObject byKey = new JsonObject();
        runs.forEach(byKey::put);
        final JsonObject byAttempt = new JsonObject();
        attempts.forEach(byAttempt::put);
        return new JsonObject()
                .put("total", total)
                .put("ranTwice", countRanTwice())
                .put("runs", byKey)
                .put("attempts", byAttempt);
    }

    private long countRanTwice() {
        return runs.values().stream().filter(count -> count > 1).count();
    }

    private void run(final RoutingContext call) {
        if (carriesKey(call)) {
            keysSeen++;
        }
        final String id = callKey(call);
        total++;
        running++;
        if (!id.equals(NO_ID)) {
            runs.merge(id, 1L, Long::sum);
        }
        if (call.request().getHeader(CALL_ID) != null) {
            attempts.merge(call.request().getHeader(CALL_ID), 1L, Long::sum);
        }
        if (runMillis > 0) {
            vertx.setTimer(runMillis, ignored -> respond(call, id));
        } else {
            respond(call, id);
        }
    }

    private void respond(final RoutingContext call, final String id) {
        running--;
        if (remainingEarlyCloses > 0) {
            remainingEarlyCloses--;
            truncated++;
            call.request().connection().close();
            return;
        }
        final JsonObject body = responseJson(call, id);
        if (remainingPartialCloses > 0) {
            remainingPartialCloses--;
            truncated++;
            call.response()
                    .putHeader(
                            "content-length", Integer.toString(body.toBuffer().length() + 1));
            call.response()
                    .write(body.toBuffer())
                    .onComplete(ignored -> call.request().connection().close());
            return;
        }
        if (remainingFailures > 0) {
            remainingFailures--;
            Answers.error(call, SERVER_ERROR, "the stand-in fails");
            return;
        }
        Answers.send(call, Answers.OK, body);
    }

    private JsonObject responseJson(final RoutingContext call, final String id) {
        return new JsonObject()
                .put("key", id)
                .put("callId", call.request().getHeader(CALL_ID))
                .put("method", call.request().method().name())
                .put("path", call.request().path())
                .put("query", call.request().query())
                .put("run", runs.getOrDefault(id, 0L))
                .put("service", port)
                .put("body", call.body().asString());
    }

    private static String callKey(final RoutingContext call) {
        final String key = call.request().getHeader("Idempotency-Key");
        if (key != null) {
            return key;
        }
        final String callId = call.request().getHeader(CALL_ID);
        if (callId != null) {
            return callId;
        }
        try {
            return String.valueOf(bodyOf(call).getValue("id", NO_ID));
        } catch (final DecodeException | ClassCastException e) {
            return NO_ID;
        }
    }
}
