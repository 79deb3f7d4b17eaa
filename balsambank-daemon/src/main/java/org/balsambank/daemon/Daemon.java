package org.balsambank.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;

import com.google.common.flogger.FluentLogger;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.balsambank.core.idempotency.IdempotencyService;
import org.balsambank.core.idempotency.IdempotencySettings;
import org.balsambank.core.idempotency.PeerIdempotencyGate;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.OwnershipPorts;
import org.balsambank.core.partition.OwnershipSettings;
import org.balsambank.core.partition.PartitionOwnership;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.request.EntryPorts;
import org.balsambank.core.request.GuardedRequestHandler;
import org.balsambank.core.request.InFlightCounter;
import org.balsambank.core.request.KeyAuthenticator;
import org.balsambank.core.request.RelayDispatcher;
import org.balsambank.core.request.RequestHandler;
import org.balsambank.core.request.RequestPipeline;
import org.balsambank.core.request.RetryBudget;
import org.balsambank.core.request.RetryPolicy;
import org.balsambank.core.request.Spans;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.supervise.Supervisor;
import org.balsambank.core.team.LendingRateGate;
import org.balsambank.core.team.RateSettings;
import org.balsambank.core.team.ShareLender;
import org.balsambank.core.time.TimerService;
import org.balsambank.daemon.http.CallerServer;
import org.balsambank.daemon.http.CatalogueRoutes;
import org.balsambank.daemon.http.OperatorServer;
import org.balsambank.daemon.settings.Settings;
import org.balsambank.daemon.trace.RecentSpans;

/**
 * The components of one VM, wired together.
 *
 * <p>Confined to the decision loop.
 */
public final class Daemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration MAX_RUN_DURATION_MARGIN = Duration.ofMinutes(1);

    private final Settings settings;
    private final TimerService timer;
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final InvariantMonitor invariants = new InvariantMonitor(registry);
    private final String boot = UUID.randomUUID().toString();
    private final RecentSpans recentSpans;
    private final Spans spans;
    private final ExternalClients clients;
    private final CatalogueComponents catalogue;
    private final PartitionOwnership ownership;
    private final TargetComponents targets;
    private final IdempotencyService idempotency;
    private final ShareLender shareLender;
    private final LendingRateGate rateGate;
    private final InFlightCounter entryRequests;
    private final InFlightCounter ownerRequests;
    private final CallerServer callers;
    private final OperatorServer operators;
    private boolean stopping;

    /**
     * Wires the components of a VM without starting them.
     *
     * @param vertx the event loops
     * @param context the context that becomes the decision loop
     * @param settings the settings of the VM
     */
    public Daemon(final Vertx vertx, final Context context, final Settings settings) {
        this.settings = settings;
        final DecisionLoop loop = new DecisionLoop(context);
        timer = loop.timer();
        recentSpans = new RecentSpans(settings.tracesKept());
        spans = createSpans();
        clients = ExternalClients.open(vertx, loop, settings, registry);
        catalogue = CatalogueComponents.create(settings.vm(), clients, this::vms, timer, invariants, registry);
        ownership = createOwnership();
        idempotency = createIdempotency();
        shareLender = new ShareLender(
                settings.vm(),
                catalogue.replica(),
                ownership,
                clients.peers(),
                timer,
                RateSettings.DEFAULT,
                invariants,
                registry);
        ownership.addParticipant(shareLender);
        rateGate = new LendingRateGate(
                catalogue.replica(),
                ownership,
                clients.peers(),
                timer,
                RateSettings.DEFAULT,
                new SecureRandom().nextLong(),
                registry);
        targets = TargetComponents.create(
                ExternalClients.self(settings), clients, ownership, catalogue.replica(), timer, invariants, registry);
        entryRequests = new InFlightCounter(registry, "entry");
        ownerRequests = new InFlightCounter(registry, "owner");
        new RelayDispatcher(
                        catalogue.replica(), targets.gate(), clients.targets(), timer, invariants, spans, ownerRequests)
                .register(clients.peers());
        callers = new CallerServer(
                vertx,
                settings.callerLimits(),
                new GuardedRequestHandler(catalogue.freshness(), createPipeline()),
                timer,
                spans,
                registry);
        operators = new OperatorServer(vertx, settings.operators().token(), this::ready);
        operators.addTextRoute("/metrics", "text/plain; version=0.0.4", registry::scrape);
        operators.addTextRoute("/status", "application/json", this::status);
        operators.addTraceRoute(recentSpans);
        new CatalogueRoutes(vertx, catalogue.repository(), revision -> ownership
                        .readMembers()
                        .flatMap(members -> catalogue.gossip().rolloutStatus(revision)))
                .addTo(operators.router());
    }

    /**
     * Runs the VM. Disposing the subscription stops the supervised components but not the servers.
     *
     * @return fails if the VM can't continue
     */
    public Completable run() {
        final List<Component> components = new ArrayList<>(catalogue.supervised());
        components.add(ownership);
        components.addAll(targets.supervised());
        components.add(idempotency);
        components.add(DisposableComponent.of("rate-owner", shareLender::start, shareLender));
        components.add(DisposableComponent.of("rate-gate", rateGate::start, rateGate));
        final Supervisor supervisor = new Supervisor("vm", components, timer, registry);
        return Completable.mergeArray(
                        clients.peers()
                                .listen(
                                        settings.peers().host(),
                                        settings.peers().port())
                                .ignoreElement(),
                        callers.listen(
                                settings.callers().host(), settings.callers().port()),
                        operators.listen(
                                settings.operators().host(),
                                settings.operators().port()))
                .doOnComplete(() -> LOGGER.atInfo().log("event=vm_started vm=%s", settings.vm()))
                .andThen(supervisor.run());
    }

    /**
     * Stops the VM gracefully: waits until the load balancer has noticed that it is not ready, hands over the
     * partitions, and lets requests in flight finish.
     *
     * @return completes when the last response is written
     */
    public Completable stop() {
        return Completable.defer(() -> {
            stopping = true;
            LOGGER.atInfo().log("event=vm_stopping vm=%s", settings.vm());
            return timer.after(settings.balancerWait())
                    .andThen(Completable.mergeArray(
                            Completable.defer(() -> ownership.stop(settings.leaseTimeToLive())),
                            Completable.defer(entryRequests::stop).doOnComplete(rateGate::returnAllShares)))
                    .andThen(Completable.defer(ownerRequests::stop))
                    .andThen(Completable.defer(clients.peers()::flush))
                    .andThen(Completable.defer(callers::stop))
                    .doOnComplete(() -> LOGGER.atInfo().log("event=vm_stopped vm=%s", settings.vm()));
        });
    }

    private boolean ready() {
        return !stopping
                && !catalogue.freshness().isolated()
                && catalogue.replica().revision().value() > 0;
    }

    private List<VmEntry> vms() {
        return clients.vmDirectory().alive(ownership.members());
    }

    private Spans createSpans() {
        final SdkTracerProvider provider = SdkTracerProvider.builder()
                .setResource(Resource.create(
                        Attributes.of(RecentSpans.VM_ID_ATTRIBUTE, settings.vm().value())))
                .addSpanProcessor(SimpleSpanProcessor.create(recentSpans))
                .build();
        return new Spans(provider.get("balsambank"));
    }

    private PartitionOwnership createOwnership() {
        final OwnershipSettings defaults = OwnershipSettings.SMALL_FLEET;
        final OwnershipSettings ownershipSettings = new OwnershipSettings(
                settings.partitions(),
                settings.leaseTimeToLive(),
                settings.leaseRenewal(),
                defaults.leaseMargin(),
                defaults.takeOverMargin(),
                defaults.promiseFor(),
                defaults.promiseMargin(),
                defaults.scansPerSecond());
        final OwnershipPorts ports = new OwnershipPorts(
                clients.store(),
                clients.vmDirectory(),
                clients.peers(),
                catalogue.replica(),
                timer,
                new SplittableRandom(),
                invariants,
                registry);
        return new PartitionOwnership(ExternalClients.self(settings), boot, ownershipSettings, ports);
    }

    private IdempotencyService createIdempotency() {
        final IdempotencyService service = new IdempotencyService(
                settings.vm(), ownership, clients.store(), timer, registry, idempotencySettings());
        service.register(clients.peers());
        return service;
    }

    private IdempotencySettings idempotencySettings() {
        final IdempotencySettings defaults = IdempotencySettings.DEFAULT;
        return new IdempotencySettings(
                defaults.shards(),
                defaults.writeInterval(),
                settings.idempotencyRetention(),
                settings.callerLimits().answerTimeout().plus(MAX_RUN_DURATION_MARGIN),
                defaults.maxRecords(),
                defaults.segmentBytes());
    }

    private RequestHandler createPipeline() {
        final PeerIdempotencyGate gate = new PeerIdempotencyGate(
                settings.vm(), new SecureRandom().nextLong(), ownership, clients.peers(), timer, idempotencySettings());
        final EntryPorts ports = new EntryPorts(
                catalogue.replica(),
                new KeyAuthenticator(),
                rateGate,
                gate,
                targets.selector(),
                ownership,
                clients.peers(),
                timer,
                invariants,
                new RetryPolicy(new RetryBudget(), new SplittableRandom(), registry),
                spans);
        return new RequestPipeline(ports, entryRequests, registry);
    }

    private String status() {
        return new StatusPage(settings, catalogue.replica(), ownership, invariants).render(ready(), vms());
    }
}
