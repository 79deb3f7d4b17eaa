package org.balsambank.standin.http;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * Writes JSON responses.
 *
 * <p>Stateless and thread-safe.
 */
public final class Answers {
    /** The status of a successful response. */
    public static final int OK = 200;

    private Answers() {}

    /**
     * Sends a JSON object. Does nothing if the response is ended or closed.
     *
     * @param context the request
     * @param status the HTTP status
     * @param body the response body
     */
    public static void send(final RoutingContext context, final int status, final JsonObject body) {
        if (context.response().ended() || context.response().closed()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.toBuffer());
    }

    /**
     * Sends status 200 with an empty JSON object.
     *
     * @param context the request
     */
    public static void ok(final RoutingContext context) {
        send(context, OK, new JsonObject());
    }

    /**
     * Sends an error.
     *
     * @param context the request
     * @param status the HTTP status
     * @param message the error message
     */
    public static void error(final RoutingContext context, final int status, final String message) {
        send(context, status, new JsonObject().put("error", new JsonObject().put("message", message)));
    }
}
