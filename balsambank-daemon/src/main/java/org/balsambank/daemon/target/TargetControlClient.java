package org.balsambank.daemon.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.port.JoinedHead;
import org.balsambank.core.port.TargetException;
import org.balsambank.core.port.TargetException.Reason;
import org.balsambank.core.port.TargetReport;

/**
 * Reads reports of targets and sends engines the commands to load and evict adapters.
 *
 * <p>Invariants: a call that failed holds no connection; a body holds at most {@link #MAX_BODY_BYTES}. Confined to the
 * decision loop.
 */
final class TargetControlClient {
    private static final String REPORT_PATH = "/load";
    private static final String LOAD_PATH = "/v1/load_lora_adapter";
    private static final String EVICT_PATH = "/v1/unload_lora_adapter";
    private static final String NAME = "lora_name";
    private static final String PATH = "lora_path";
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int STATUS_OK = 200;
    private static final int STATUS_FENCED = 412;

    private final HttpClient client;
    private final TargetTimeouts timeouts;
    private final ResponseFaults faults;

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     * @param timeouts the time limits
     * @param faults counts what targets send instead of a response
     */
    TargetControlClient(final HttpClient client, final TargetTimeouts timeouts, final ResponseFaults faults) {
        this.client = Objects.requireNonNull(client);
        this.timeouts = Objects.requireNonNull(timeouts);
        this.faults = Objects.requireNonNull(faults);
    }

    /**
     * Reads the report of a target.
     *
     * @param target the target to query
     * @return the report
     */
    Single<TargetReport> report(final Target target) {
        return Single.create(emitter -> request(target, HttpMethod.GET, REPORT_PATH)
                .compose(connected -> exchange(connected, connected.send(), timeouts.report()))
                .map(TargetControlClient::parse)
                .onComplete(emitter::onSuccess, error -> emitter.tryOnError(toTargetException(error))));
    }

    /**
     * Commands an engine to load a version of an adapter.
     *
     * @param target the engine
     * @param epoch the fencing number
     * @param adapter the version of the adapter
     * @return completes when the version is loaded
     */
    Completable load(final Target target, final Epoch epoch, final AdapterRef adapter) {
        final JsonObject body = new JsonObject().put(NAME, adapter.toString()).put(PATH, adapter.toString());
        return sendCommand(target, epoch, LOAD_PATH, body);
    }

    /**
     * Commands an engine to evict a version of an adapter.
     *
     * @param target the engine
     * @param epoch the fencing number
     * @param adapter the version of the adapter
     * @return completes when the version is evicted
     */
    Completable evict(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return sendCommand(target, epoch, EVICT_PATH, new JsonObject().put(NAME, adapter.toString()));
    }

    private Completable sendCommand(final Target target, final Epoch epoch, final String path, final JsonObject body) {
        return Completable.create(emitter -> request(target, HttpMethod.POST, path)
                .compose(connected -> {
                    connected.putHeader("Content-Type", "application/json");
                    connected.putHeader(TargetHeaders.FENCING_NUMBER, String.valueOf(epoch.value()));
                    return exchange(connected, connected.send(body.toBuffer()), timeouts.command());
                })
                .onComplete(ignored -> emitter.onComplete(), error -> emitter.tryOnError(toTargetException(error))));
    }

    private Future<HttpClientRequest> request(final Target target, final HttpMethod method, final String path) {
        return client.request(new RequestOptions()
                        .setHost(target.host())
                        .setPort(target.port())
                        .setMethod(method)
                        .setURI(path))
                .recover(error -> Future.failedFuture(
                        new TargetException(Reason.NOT_SENT, "no connection: " + error.getMessage())));
    }

    private Future<Buffer> exchange(
            final HttpClientRequest request, final Future<HttpClientResponse> sent, final Duration timeout) {
        return sent.onFailure(faults::countIfMalformed)
                .compose(this::checkHead)
                .compose(response -> readBody(response).compose(body -> checkStatus(response.statusCode(), body)))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .onFailure(ignored -> request.reset());
    }

    private static Future<Buffer> readBody(final HttpClientResponse response) {
        final Promise<Buffer> read = Promise.promise();
        final Buffer body = Buffer.buffer();
        response.handler(data -> {
                    if (body.length() + data.length() > MAX_BODY_BYTES) {
                        read.tryFail("the body is too long");
                    } else {
                        body.appendBuffer(data);
                    }
                })
                .endHandler(ignored -> read.tryComplete(body))
                .exceptionHandler(read::tryFail);
        return read.future();
    }

    private Future<HttpClientResponse> checkHead(final HttpClientResponse response) {
        if (JoinedHead.matches(response.statusMessage(), response.headers())) {
            faults.count(ResponseFaults.Kind.JOINED_HEAD);
            return Future.failedFuture(
                    new TargetException(Reason.LOST, "the head holds the status line of another response"));
        }
        return Future.succeededFuture(response);
    }

    private static Future<Buffer> checkStatus(final int status, final Buffer body) {
        if (status == STATUS_OK) {
            return Future.succeededFuture(body);
        }
        final Reason reason = status == STATUS_FENCED ? Reason.FENCED : Reason.REFUSED;
        return Future.failedFuture(new TargetException(reason, "status " + status));
    }

    private static TargetReport parse(final Buffer body) {
        final JsonObject json = body.toJsonObject();
        final Map<AdapterRef, Integer> adapters = new HashMap<>();
        final JsonObject loaded = json.getJsonObject("adapters", new JsonObject());
        loaded.fieldNames().forEach(name -> adapters.put(AdapterRef.parse(name), loaded.getInteger(name)));
        return new TargetReport(
                new BootId(json.getString("bootId")),
                json.getInteger("running", 0),
                json.getInteger("waiting", 0),
                adapters);
    }

    private static TargetException toTargetException(final Throwable error) {
        return error instanceof TargetException target
                ? target
                : new TargetException(Reason.LOST, "no response: " + error.getMessage());
    }
}
