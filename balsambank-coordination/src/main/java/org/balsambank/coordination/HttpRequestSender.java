package org.balsambank.coordination;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ConnectionPoolTooBusyException;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import org.balsambank.core.port.JoinedHead;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;

/**
 * Sends HTTP requests on one context and maps their failures to {@link KeyValueException}.
 *
 * <p>Invariants: reason {@code UNAVAILABLE} is used only if no connection was open for the request; a connection
 * carries one request, since nothing in a response names its request, and a service may send a second copy of a
 * response where the next one is due. Thread-safe; results arrive on the context.
 */
final class HttpRequestSender {
    private final Context context;
    private final WebClient client;

    /**
     * Creates a sender.
     *
     * @param context the context on which requests are sent and results arrive
     */
    HttpRequestSender(final Context context) {
        this.context = Objects.requireNonNull(context);
        client = WebClient.wrap(context.owner()
                .httpClientBuilder()
                .with(new HttpClientOptions().setKeepAlive(false))
                .withConnectHandler(StatusLineCheck::install)
                .build());
    }

    /**
     * Sends a request.
     *
     * @param method the method of the request
     * @param url the absolute URL
     * @param body the JSON body, or null for none
     * @param timeout the timeout for the complete response
     * @return the response with any status; the request is sent on subscription
     */
    Single<HttpResponse<Buffer>> send(
            final HttpMethod method, final String url, final JsonObject body, final Duration timeout) {
        return Single.create(emitter -> onContext(() -> start(client.requestAbs(method, url), body, timeout, emitter)));
    }

    private void start(
            final HttpRequest<Buffer> request,
            final JsonObject body,
            final Duration timeout,
            final SingleEmitter<HttpResponse<Buffer>> emitter) {
        if (emitter.isDisposed()) {
            return;
        }
        final HttpRequest<Buffer> timed = request.timeout(timeout.toMillis());
        final Future<HttpResponse<Buffer>> response = body == null ? timed.send() : timed.sendJsonObject(body);
        response.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .compose(HttpRequestSender::checkHead)
                .onComplete(result -> onContext(() -> {
                    if (result.succeeded()) {
                        emitter.onSuccess(result.result());
                    } else {
                        emitter.tryOnError(failure(result.cause()));
                    }
                }));
    }

    private static Future<HttpResponse<Buffer>> checkHead(final HttpResponse<Buffer> response) {
        return JoinedHead.matches(response.statusMessage(), response.headers())
                ? Future.failedFuture("the head holds the status line of another response")
                : Future.succeededFuture(response);
    }

    private void onContext(final Runnable action) {
        if (Vertx.currentContext() == context) {
            action.run();
        } else {
            context.runOnContext(ignored -> action.run());
        }
    }

    private static KeyValueException failure(final Throwable cause) {
        final Reason reason = isNotSent(cause) ? Reason.UNAVAILABLE : Reason.UNKNOWN;
        return new KeyValueException(reason, String.valueOf(cause.getMessage()));
    }

    private static boolean isNotSent(final Throwable cause) {
        return cause instanceof ConnectException
                || cause instanceof UnknownHostException
                || cause instanceof NoRouteToHostException
                || cause instanceof ConnectionPoolTooBusyException;
    }
}
