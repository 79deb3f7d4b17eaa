package org.balsambank.gateway;

import java.time.Duration;
import java.util.Objects;

import com.google.protobuf.ByteString;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ServingCore;
import org.balsambank.core.serving.ServingSettings;
import org.balsambank.core.time.TimerService;
import org.balsambank.gateway.caller.CallerContext;
import org.balsambank.gateway.caller.CallerListener;
import org.balsambank.gateway.caller.ClientAccounts;
import org.balsambank.gateway.caller.ClientLimits;
import org.balsambank.gateway.caller.PageServer;
import org.balsambank.gateway.loop.GatewayLoop;
import org.balsambank.gateway.target.TargetConnectionPools;
import org.balsambank.peer.NettyPeerTransport;
import org.balsambank.peer.PeerAddresses;
import org.balsambank.peer.PeerSettings;

/**
 * The components of one serving VM, wired together.
 *
 * <p>Confined to the decision loop, except for the constructor and {@link #stop()}.
 */
public final class ServingDaemon {
    private static final Duration BALANCER_NOTICE_DELAY = Duration.ofMillis(2_700);
    private static final Duration STOP_MARGIN = Duration.ofMillis(1_250);
    private static final Duration STOP_CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration LAST_RESPONSES_DELAY = Duration.ofMillis(250);

    private final ServingSettings settings;
    private final ListenAddresses listenAddresses;
    private final GatewayLoop loop;
    private final TimerService timer;
    private final DecisionLog log;
    private final PrometheusMeterRegistry registry;
    private final PeerAddresses peerAddresses = new PeerAddresses();
    private final NettyPeerTransport peers;
    private final ServingCore core;
    private final CallerContext callers;
    private final CallerListener callerListener;
    private final PageServer readyServer;
    private final PageServer metricsServer;
    private Completable stop;
    private boolean stopping;
    private boolean loggedReady;

    /**
     * Wires the components without starting them.
     *
     * @param settings the settings of the VM
     * @param listenAddresses the addresses to listen on
     * @param bindings the implementations for the platform
     * @param clientLimits the limits of what all clients may hold
     * @param fleetToken the shared secret of the VMs
     * @param loop the decision loop
     * @param log the decision log
     * @param registry the metrics of the VM
     */
    public ServingDaemon(
            final ServingSettings settings,
            final ListenAddresses listenAddresses,
            final PlatformBindings bindings,
            final ClientLimits clientLimits,
            final String fleetToken,
            final GatewayLoop loop,
            final DecisionLog log,
            final PrometheusMeterRegistry registry) {
        this.settings = Objects.requireNonNull(settings);
        this.listenAddresses = Objects.requireNonNull(listenAddresses);
        this.loop = Objects.requireNonNull(loop);
        this.log = Objects.requireNonNull(log);
        this.registry = Objects.requireNonNull(registry);
        timer = loop.timer();
        final LoopLateness lateness = new LoopLateness(registry, log);
        loop.setLatenessListener(lateNanos -> lateness.timerFired(lateNanos, timer.nanoTime()));
        peers = new NettyPeerTransport(
                settings.vm(),
                peerAddresses,
                PeerSettings.withToken(ByteString.copyFromUtf8(fleetToken)),
                timer,
                loop,
                loop.group(),
                registry);
        core = new ServingCore(
                settings,
                bindings.store(),
                bindings.entryParser(),
                bindings.orderClient(),
                bindings.dutyClient(),
                peers,
                timer,
                System::currentTimeMillis,
                log,
                registry);
        core.members().setListener(peerAddresses::update);
        final TargetConnectionPools pools =
                new TargetConnectionPools(loop.group(), bindings.dialect(), core.members(), log, registry);
        final ClientAccounts clients = new ClientAccounts(clientLimits, timer, log, registry);
        callers = new CallerContext(core, bindings.dialect(), pools, clients, timer, log);
        callerListener = new CallerListener(loop.group(), callers);
        readyServer = new PageServer(loop.group());
        readyServer.addPage(listenAddresses.readyPath(), this::readyPage);
        metricsServer = new PageServer(loop.group());
        metricsServer.addPage("/metrics", () -> new PageServer.Page(HttpResponseStatus.OK.code(), registry.scrape()));
    }

    /**
     * Opens the ports and runs the VM.
     *
     * @return fails if the VM can't continue
     */
    public Completable run() {
        final Completable ports = Completable.mergeArray(
                readyServer.listen(listenAddresses.host(), listenAddresses.readyPort()),
                callerListener.listen(listenAddresses.host(), listenAddresses.callerPort()),
                peers.listen(settings.host(), settings.peerPort()).ignoreElement());
        return ports.doOnComplete(this::logStarted)
                .andThen(Completable.defer(() -> Completable.mergeArray(core.run(), serveMetrics())))
                .subscribeOn(timer.scheduler());
    }

    /**
     * Stops gracefully: the readiness page turns unready, the partitions are handed over, new connections are refused
     * once the load balancer has noticed, and requests that are read or run may finish within the grace period, which
     * begins with the first call; further calls return the same stop. Thread-safe.
     *
     * @return completes when all callers have their responses or the grace period is over
     */
    public synchronized Completable stop() {
        if (stop == null) {
            stop = newStop().cache();
        }
        return stop;
    }

    private Completable newStop() {
        final long requestedNanos = timer.nanoTime();
        return Completable.defer(() -> serveRemainingRequests(requestedNanos))
                .andThen(Completable.fromAction(this::endUnfinishedRequests))
                .andThen(timer.after(LAST_RESPONSES_DELAY))
                .doOnComplete(() -> log.line("stopped")
                        .with("vm", settings.vm().value())
                        .with("cut", callers.unfinishedConnections())
                        .write())
                .subscribeOn(timer.scheduler());
    }

    private Completable serveRemainingRequests(final long requestedNanos) {
        final Duration late = Duration.ofNanos(timer.nanoTime() - requestedNanos);
        final Duration untilExit =
                notNegative(settings.grace().minus(STOP_MARGIN).minus(late));
        final long exitNanos = timer.nanoTime() + untilExit.toNanos();
        stopping = true;
        log.line("stopping")
                .with("vm", settings.vm().value())
                .with("running", callers.unfinishedConnections())
                .with("late_ms", late.toMillis())
                .write();
        core.beginStop(notNegative(BALANCER_NOTICE_DELAY.minus(late)), untilExit);
        callers.stop();
        final Completable requestsServed = timer.every(STOP_CHECK_PERIOD)
                .doOnNext(tick -> callers.closeIdle())
                .takeWhile(tick -> callers.unfinishedConnections() > 0 && timer.nanoTime() < exitNanos)
                .ignoreElements();
        final Duration untilNotAccepting =
                BALANCER_NOTICE_DELAY.compareTo(untilExit) < 0 ? BALANCER_NOTICE_DELAY : untilExit;
        return Completable.mergeArray(core.handOver(), timer.after(untilNotAccepting))
                .doOnComplete(callerListener::close)
                .andThen(requestsServed);
    }

    private static Duration notNegative(final Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
    }

    private void endUnfinishedRequests() {
        final long unfinished = callers.unfinishedConnections();
        if (unfinished > 0) {
            log.line("grace_over").with("unfinished", unfinished).write();
        }
        callers.vmExits();
    }

    private void logStarted() {
        log.line("started")
                .with("vm", settings.vm().value())
                .with("domain", settings.domain().value())
                .with("caller_port", listenAddresses.callerPort())
                .with("peer_port", settings.peerPort())
                .write();
    }

    private Completable serveMetrics() {
        return listenAddresses
                .metricsPort()
                .map(port -> metricsServer.listen(listenAddresses.host(), port))
                .orElse(Completable.complete())
                .onErrorComplete(error -> {
                    log.line("metrics_unavailable")
                            .with("reason", String.valueOf(error.getMessage()))
                            .write();
                    return true;
                });
    }

    private PageServer.Page readyPage() {
        final boolean isReady = !stopping && core.ready();
        if (isReady != loggedReady) {
            loggedReady = isReady;
            log.line(isReady ? "ready" : "not_ready")
                    .with("stopping", String.valueOf(stopping))
                    .write();
        }
        final HttpResponseStatus status = isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        return new PageServer.Page(status.code(), "");
    }
}
