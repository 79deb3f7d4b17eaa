package org.balsambank.gateway;

import java.time.Duration;
import java.util.Objects;

import com.google.protobuf.ByteString;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ServingCore;
import org.balsambank.core.serving.ServingSettings;
import org.balsambank.core.time.TimerService;
import org.balsambank.gateway.caller.CallerContext;
import org.balsambank.gateway.caller.CallerListener;
import org.balsambank.gateway.caller.PageServer;
import org.balsambank.gateway.loop.GatewayLoop;
import org.balsambank.gateway.target.TargetConnectionPools;
import org.balsambank.peer.NettyPeerTransport;
import org.balsambank.peer.PeerAddresses;
import org.balsambank.peer.PeerSettings;

/**
 * The parts of one VM that serves, wired together.
 *
 * <p>Confined to the decision loop, but for its construction.
 */
public final class ServingDaemon {
    private static final Duration BALANCER_NOTICES = Duration.ofMillis(2_700);
    private static final Duration STOP_MARGIN = Duration.ofMillis(1_250);
    private static final Duration STOP_CHECK = Duration.ofMillis(100);
    private static final Duration LAST_ANSWERS = Duration.ofMillis(250);

    private final ServingSettings settings;
    private final ListenAddresses listening;
    private final GatewayLoop loop;
    private final TimerService timer;
    private final DecisionLog log;
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final PeerAddresses addresses = new PeerAddresses();
    private final NettyPeerTransport peers;
    private final ServingCore core;
    private final CallerContext callers;
    private final CallerListener callerServer;
    private final PageServer ready;
    private final PageServer metrics;
    private boolean stopping;
    private boolean readySaid;

    /**
     * Wires the parts. Nothing runs yet.
     *
     * @param settings what the VM has to know
     * @param listening where it listens
     * @param outside how it speaks to the outside
     * @param fleetToken the secret that the VMs share
     * @param loop the decision loop
     * @param log takes a line for each decision
     */
    public ServingDaemon(
            final ServingSettings settings,
            final ListenAddresses listening,
            final PlatformBindings outside,
            final String fleetToken,
            final GatewayLoop loop,
            final DecisionLog log) {
        this.settings = Objects.requireNonNull(settings);
        this.listening = Objects.requireNonNull(listening);
        this.loop = Objects.requireNonNull(loop);
        this.log = Objects.requireNonNull(log);
        timer = loop.timer();
        peers = new NettyPeerTransport(
                settings.vm(),
                addresses,
                PeerSettings.withToken(ByteString.copyFromUtf8(fleetToken)),
                timer,
                loop,
                loop.group(),
                registry);
        core = new ServingCore(
                settings,
                outside.store(),
                outside.facts(),
                outside.orders(),
                peers,
                timer,
                System::currentTimeMillis,
                log,
                registry);
        core.members().setListener(addresses::update);
        final TargetConnectionPools pools = new TargetConnectionPools(loop.group(), outside.dialect(), core.members());
        callers = new CallerContext(core, outside.dialect(), pools, timer, log);
        callerServer = new CallerListener(loop.group(), callers);
        ready = new PageServer(loop.group());
        ready.show(listening.readyPath(), this::readyPage);
        metrics = new PageServer(loop.group());
        metrics.show("/metrics", () -> new PageServer.Page(HttpResponseStatus.OK.code(), registry.scrape()));
    }

    /**
     * Runs the VM.
     *
     * @return fails when the VM can't go on
     */
    public Completable run() {
        final Completable ports = Completable.mergeArray(
                ready.listen(listening.host(), listening.readyPort()),
                callerServer.listen(listening.host(), listening.callerPort()),
                peers.listen(settings.host(), settings.peerPort()).ignoreElement());
        return ports.doOnComplete(this::started)
                .andThen(Completable.defer(() -> Completable.mergeArray(core.run(), showMetrics())))
                .subscribeOn(timer.scheduler());
    }

    /**
     * Stops without cutting off a request: new connections go elsewhere, those that are there are served to their end.
     *
     * @return completes when everything has ended
     */
    public Completable stop() {
        return Completable.defer(() -> {
                    stopping = true;
                    log.line("stopping")
                            .with("vm", settings.vm().value())
                            .with("running", callers.running())
                            .write();
                    callers.stop();
                    final long sinceNanos = timer.nanoTime();
                    final Completable served = timer.every(STOP_CHECK)
                            .doOnNext(tick -> callers.closeIdle())
                            .takeWhile(tick -> !served(Duration.ofNanos(timer.nanoTime() - sinceNanos)))
                            .ignoreElements();
                    return Completable.mergeArray(core.handOver(), timer.after(BALANCER_NOTICES))
                            .doOnComplete(callerServer::close)
                            .andThen(served);
                })
                .andThen(timer.after(LAST_ANSWERS))
                .doOnComplete(() -> log.line("stopped")
                        .with("vm", settings.vm().value())
                        .with("cut", callers.running())
                        .write())
                .subscribeOn(timer.scheduler());
    }

    private boolean served(final Duration since) {
        return callers.running() == 0 || since.compareTo(settings.grace().minus(STOP_MARGIN)) >= 0;
    }

    private void started() {
        log.line("started")
                .with("vm", settings.vm().value())
                .with("domain", settings.domain().value())
                .with("caller_port", listening.callerPort())
                .with("peer_port", settings.peerPort())
                .write();
    }

    private Completable showMetrics() {
        return listening
                .metricsPort()
                .map(port -> metrics.listen(listening.host(), port))
                .orElse(Completable.complete())
                .onErrorComplete(error -> {
                    log.line("metrics_unavailable")
                            .with("reason", String.valueOf(error.getMessage()))
                            .write();
                    return true;
                });
    }

    private PageServer.Page readyPage() {
        final boolean good = !stopping && core.ready();
        if (good != readySaid) {
            readySaid = good;
            log.line(good ? "ready" : "not_ready")
                    .with("stopping", String.valueOf(stopping))
                    .write();
        }
        final HttpResponseStatus status = good ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        return new PageServer.Page(status.code(), "");
    }
}
