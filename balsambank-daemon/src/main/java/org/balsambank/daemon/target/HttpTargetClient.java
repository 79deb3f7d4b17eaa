package org.balsambank.daemon.target;

import java.util.Objects;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.balsambank.coordination.StatusLineCheck;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.port.TargetReport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.relay.RelayEvent;
import org.balsambank.protocol.generated.relay.RelayRequest;

/**
 * The HTTP client of the targets.
 *
 * <p>Invariant: a connection carries one request of a caller, one report or one order. A target may send a second copy
 * of a response late, and nothing surely tells a part of it from the response that follows on the same connection; and
 * on a connection that was kept and died unnoticed the outcome of a request could stay unknown. Confined to the
 * decision loop.
 */
public final class HttpTargetClient implements TargetClient {
    /** The most requests that are sent to a target at the same time. */
    static final int MAX_REQUESTS_PER_TARGET = 512;

    private static final int MAX_QUEUED_REQUESTS = 128;
    private static final int MAX_CONTROL_CALLS_PER_TARGET = 256;
    private static final int MAX_QUEUED_CONTROL_CALLS = 64;

    private final HttpClient requests;
    private final TimerService timer;
    private final TargetTimeouts timeouts;
    private final ResponseFaults faults;
    private final TargetControlClient controlClient;

    /**
     * Creates a client without opening connections.
     *
     * @param vertx the event loops
     * @param timer the clock and scheduler of the decision loop
     * @param timeouts the time limits
     * @param registry counts what targets send instead of responses
     */
    public HttpTargetClient(
            final Vertx vertx, final TimerService timer, final TargetTimeouts timeouts, final MeterRegistry registry) {
        this.timer = Objects.requireNonNull(timer);
        this.timeouts = Objects.requireNonNull(timeouts);
        faults = new ResponseFaults(registry);
        requests = client(vertx, timeouts, pool(MAX_REQUESTS_PER_TARGET, MAX_QUEUED_REQUESTS));
        controlClient = new TargetControlClient(
                client(vertx, timeouts, pool(MAX_CONTROL_CALLS_PER_TARGET, MAX_QUEUED_CONTROL_CALLS)),
                timeouts,
                faults);
    }

    @Override
    public Flowable<RelayEvent> send(final Target target, final Epoch epoch, final RelayRequest request) {
        return Flowable.fromPublisher(subscriber -> {
            final TargetCall call = new TargetCall(target, epoch, request, subscriber, timer, timeouts, faults);
            subscriber.onSubscribe(call);
            call.start(openRequest(target, request));
        });
    }

    @Override
    public Single<TargetReport> report(final Target target) {
        return controlClient.report(target);
    }

    @Override
    public Completable load(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return controlClient.load(target, epoch, adapter);
    }

    @Override
    public Completable evict(final Target target, final Epoch epoch, final AdapterRef adapter) {
        return controlClient.evict(target, epoch, adapter);
    }

    private Future<HttpClientRequest> openRequest(final Target target, final RelayRequest request) {
        return requests.request(new RequestOptions()
                .setHost(target.host())
                .setPort(target.port())
                .setMethod(HttpMethod.valueOf(request.getHttpMethod()))
                .setURI(request.getPath()));
    }

    private static HttpClient client(final Vertx vertx, final TargetTimeouts timeouts, final PoolOptions pool) {
        return vertx.httpClientBuilder()
                .with(options(timeouts))
                .with(pool)
                .withConnectHandler(StatusLineCheck::install)
                .build();
    }

    private static HttpClientOptions options(final TargetTimeouts timeouts) {
        return new HttpClientOptions()
                .setConnectTimeout(Math.toIntExact(timeouts.connect().toMillis()))
                .setKeepAlive(false)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setDecompressionSupported(false);
    }

    private static PoolOptions pool(final int connections, final int queued) {
        return new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(queued);
    }
}
