package org.balsambank.standin.client;

import java.time.Duration;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * An HTTP client that sends calls to VMs, or directly to targets.
 *
 * <p>Thread-safe. Each call ends within its time limit.
 */
public final class CallerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final int KEEP_ALIVE_SECONDS = 5;
    private static final String COMPLETIONS = "/v1/completions";

    private final HttpClient http;
    private final Duration timeout;
    private final Vertx vertx;

    /**
     * Creates a client.
     *
     * @param vertx runs the event loops
     * @param maxConnections the maximum number of connections to one endpoint
     * @param timeout the time limit of one call
     */
    public CallerClient(final Vertx vertx, final int maxConnections, final Duration timeout) {
        this.vertx = vertx;
        this.timeout = timeout;
        http = vertx.httpClientBuilder()
                .with(new HttpClientOptions()
                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS))
                .with(new PoolOptions().setHttp1MaxSize(maxConnections).setMaxWaitQueueSize(-1))
                .withConnectHandler(connection -> connection.exceptionHandler(ignored -> {}))
                .build();
    }

    /**
     * Requests a completion.
     *
     * @param endpoint the VM or target
     * @param call the call
     * @param tokens receives the tokens of a stream
     * @return the result as the caller sees it; never fails
     */
    public Single<CallResult> complete(final Endpoint endpoint, final CompletionCall call, final TokenListener tokens) {
        final RequestOptions options = requestOptions(endpoint, COMPLETIONS, call.key());
        return send(options, call.body().toBuffer(), tokens);
    }

    /**
     * Calls a plain service.
     *
     * @param endpoint the VM
     * @param call the call
     * @return the result as the caller sees it; never fails
     */
    public Single<CallResult> call(final Endpoint endpoint, final ServiceCall call) {
        final RequestOptions options =
                requestOptions(endpoint, "/services/" + call.service() + call.path(), call.key());
        options.putHeader("X-Call-Id", call.callId());
        if (!call.idempotencyKey().isEmpty()) {
            options.putHeader("Idempotency-Key", call.idempotencyKey());
        }
        return send(options, Buffer.buffer(call.body()), TokenListener.NONE);
    }

    /**
     * Sends any request.
     *
     * @param endpoint the server
     * @param method the HTTP method
     * @param path the path
     * @param bearer the bearer token, empty for none
     * @param body the request body, may be empty
     * @return the result; never fails
     */
    public Single<CallResult> fetch(
            final Endpoint endpoint,
            final HttpMethod method,
            final String path,
            final String bearer,
            final String body) {
        return send(requestOptions(endpoint, path, bearer).setMethod(method), Buffer.buffer(body), TokenListener.NONE);
    }

    @Override
    public void close() {
        http.close();
    }

    private static RequestOptions requestOptions(final Endpoint endpoint, final String path, final String key) {
        final RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .putHeader("Content-Type", "application/json");
        if (!key.isEmpty()) {
            options.putHeader("Authorization", "Bearer " + key);
        }
        return options;
    }

    private Single<CallResult> send(final RequestOptions options, final Buffer body, final TokenListener tokens) {
        return Single.create(emitter -> {
            final ResponseReader reader = new ResponseReader(System.nanoTime(), tokens, emitter::onSuccess);
            final long timer = vertx.setTimer(timeout.toMillis(), ignored -> reader.timedOut());
            reader.onFinished(() -> vertx.cancelTimer(timer));
            http.request(options)
                    .onFailure(reader::connectFailed)
                    .onSuccess(request -> exchange(request, body, reader));
        });
    }

    private static void exchange(final HttpClientRequest request, final Buffer body, final ResponseReader reader) {
        reader.onFinished(() -> {
            if (!reader.fullyRead()) {
                request.reset();
            }
        });
        request.exceptionHandler(error -> reader.connectionLost(error.getMessage()));
        request.response()
                .onFailure(error -> reader.connectionLost(error.getMessage()))
                .onSuccess(reader::read);
        request.end(body);
    }
}
