package org.balsambank.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.partition.MemberLease;
import org.balsambank.core.partition.OwnershipSettings;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.PolledKeyValueStore;
import org.balsambank.core.port.StoreEra;
import org.balsambank.core.serving.admission.AdmissionMetrics;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.FairAdmission;
import org.balsambank.core.serving.admission.FleetDemand;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.admission.StopWindow;
import org.balsambank.core.serving.admission.TeamRateLimiter;
import org.balsambank.core.serving.choice.EngineLatencyModels;
import org.balsambank.core.serving.choice.PlaceKeeper;
import org.balsambank.core.serving.choice.TargetBacklog;
import org.balsambank.core.serving.choice.TargetChooser;
import org.balsambank.core.serving.duty.Duties;
import org.balsambank.core.serving.duty.DutyClient;
import org.balsambank.core.serving.duty.DutySettings;
import org.balsambank.core.serving.fleet.AggregationTree;
import org.balsambank.core.serving.fleet.DigestExchange;
import org.balsambank.core.serving.fleet.FleetMembers;
import org.balsambank.core.serving.fleet.PeerEntrySource;
import org.balsambank.core.serving.fleet.PermitExchange;
import org.balsambank.core.serving.fleet.PlaceExchange;
import org.balsambank.core.serving.fleet.TargetCrashTracker;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.placement.ClaimSubject;
import org.balsambank.core.serving.placement.Claims;
import org.balsambank.core.serving.placement.LeaseView;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.placement.TargetOrderClient;
import org.balsambank.core.serving.plan.CallerBounds;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.poison.PromptPartTracker;
import org.balsambank.core.serving.poison.SavedPromptParts;
import org.balsambank.core.serving.replica.EntryListener;
import org.balsambank.core.serving.replica.EntryReplica;
import org.balsambank.core.serving.replica.ReplicaReader;
import org.balsambank.core.serving.request.AdmissionListener;
import org.balsambank.core.serving.request.CallerResponder;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.request.RequestDependencies;
import org.balsambank.core.serving.request.RequestExecution;
import org.balsambank.core.serving.request.RequestMetrics;
import org.balsambank.core.serving.request.ServiceRetryBudgets;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.supervise.Supervisor;
import org.balsambank.core.target.SavedEvidence;
import org.balsambank.core.target.SavedPoisonRequests;
import org.balsambank.core.time.ClockJumpDetector;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * Creates and connects the components with which a VM serves requests.
 *
 * <p>Confined to the decision loop.
 */
public final class ServingCore implements EntryListener {
    private static final Duration LEASE_DURATION = Duration.ofMillis(3_000);
    private static final Duration RENEW_INTERVAL = Duration.ofMillis(900);
    private static final Duration LEASE_MARGIN = Duration.ofMillis(500);

    private final EntryParser parser;
    private final PeerTransport peers;
    private final TimerService timer;
    private final DecisionLog log;
    private final StoreEra era;
    private final EntryReplica replica;
    private final ActivePlan activePlan;
    private final StopWindow stopWindow;
    private final TargetTable targets;
    private final TargetLimits limits;
    private final ReportedLoads loads;
    private final ResidencyTable residency = new ResidencyTable();
    private final InFlightRequests inFlight = new InFlightRequests();
    private final TargetPerformance performance;
    private final EngineLatencyModels latency = new EngineLatencyModels();
    private final FleetMembers members;
    private final MemberLease memberLease;
    private final ClockJumpDetector jumps;
    private final Claims claims;
    private final Placement placement;
    private final ReplicaReader reader;
    private final DigestExchange digests;
    private final List<SavedEvidence> savedEvidence;
    private final Optional<Duties> duties;
    private final RequestDependencies dependencies;
    private final Supervisor supervisor;

    /**
     * Creates the components. Nothing runs before {@link #run()} is subscribed.
     *
     * @param settings the settings of this VM
     * @param store the key-value service
     * @param parser parses the entries that other processes write
     * @param orderClient sends orders to targets and reads their status
     * @param dutyClient makes the calls of duties, if the settings name any
     * @param peers the transport to the other VMs
     * @param timer the timer service
     * @param wallMillis the wall clock in milliseconds, to detect time that the monotonic clock did not count
     * @param log the decision log; gets a line for each decision
     * @param registry the registry for metrics
     */
    public ServingCore(
            final ServingSettings settings,
            final PolledKeyValueStore store,
            final EntryParser parser,
            final TargetOrderClient orderClient,
            final DutyClient dutyClient,
            final PeerTransport peers,
            final TimerService timer,
            final LongSupplier wallMillis,
            final DecisionLog log,
            final MeterRegistry registry) {
        this.parser = Objects.requireNonNull(parser);
        this.peers = Objects.requireNonNull(peers);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        era = store.era();
        replica = new EntryReplica(parser, era);
        final SplittableRandom random = new SplittableRandom();
        activePlan = new ActivePlan(timer, log);
        stopWindow = new StopWindow(timer);
        targets = new TargetTable(timer, log);
        limits = new TargetLimits(targets, timer, log);
        loads = new ReportedLoads(targets, timer);
        performance = new TargetPerformance(timer::nanoTime);
        members = new FleetMembers(settings.vm(), timer, log);
        jumps = new ClockJumpDetector(timer, wallMillis);
        memberLease = new MemberLease(
                memberRecord(settings), store, leaseSettings(), timer, jumps::requestSent, jumps::responseReceived);
        claims = new Claims(members.self(), store, new CurrentLease(), timer, log);
        placement = createPlacement(orderClient);
        final TeamRateLimiter rateLimiter = new TeamRateLimiter(timer, members, settings.rateSlack());
        final TargetCrashTracker crashTracker = new TargetCrashTracker(timer, members, log);
        registerGauges(registry, crashTracker);
        final ColdTargetLimiter cold =
                new ColdTargetLimiter(timer, members, settings.coldOverage(), settings.coldSlack());
        final SendPermits permits = new SendPermits(limits, members, timer);
        reader = new ReplicaReader(
                store, replica, new PeerEntrySource(peers, members, replica, era, random), this, timer, log);
        final FleetDemand demand = new FleetDemand(timer, this::admitsFairly);
        digests = createDigestExchange(settings.domain(), rateLimiter, crashTracker, demand, random);
        final TargetChooser chooser = createChooser(settings.domain(), cold, permits, random);
        duties = settings.duties().map(each -> createDuties(each, dutyClient, store, wallMillis, random, registry));
        duties.ifPresent(each -> digests.extendWith(each.digests()));
        registry.gauge("balsambank.serving.places.held", chooser.keeper(), PlaceKeeper::held);
        dependencies = createDependencies(
                settings,
                chooser,
                rateLimiter,
                createAdmission(demand, random, registry),
                cold,
                permits,
                crashTracker,
                random,
                registry);
        savedEvidence = createSavedEvidence(store, crashTracker, wallMillis);
        era.changes().subscribe(this::beginEra);
        supervisor = new Supervisor("serving", components(), timer, registry);
    }

    private boolean admitsFairly(final ServiceName name) {
        return loads.active(name) && service(name).flatMap(ServiceSpec::engine).isPresent();
    }

    private Optional<ServiceSpec> service(final ServiceName name) {
        return activePlan.current().flatMap(plan -> plan.service(name));
    }

    private RequestDependencies createDependencies(
            final ServingSettings settings,
            final TargetChooser chooser,
            final TeamRateLimiter rateLimiter,
            final FairAdmission admission,
            final ColdTargetLimiter cold,
            final SendPermits permits,
            final TargetCrashTracker crashTracker,
            final SplittableRandom random,
            final MeterRegistry registry) {
        return new RequestDependencies(
                activePlan,
                targets,
                limits,
                loads,
                chooser,
                placement,
                residency,
                inFlight,
                performance,
                latency,
                rateLimiter,
                admission,
                new ServiceRetryBudgets(settings.retryShare(), settings.retryReserve(), members),
                cold,
                new PermitExchange(peers, members, limits, permits, timer),
                new PlaceExchange(peers, members, chooser.keeper(), loads, this::service, timer),
                stopWindow,
                crashTracker,
                timer,
                random,
                log,
                new RequestMetrics(registry),
                duties.map(Duties::admissions).orElse(AdmissionListener.NONE));
    }

    private Placement createPlacement(final TargetOrderClient orderClient) {
        return new Placement(
                members.self(),
                targets,
                claims,
                name -> service(name).flatMap(ServiceSpec::engine),
                members::all,
                orderClient,
                inFlight,
                residency,
                peers,
                timer,
                log);
    }

    private FairAdmission createAdmission(
            final FleetDemand demand, final SplittableRandom random, final MeterRegistry registry) {
        final TargetBacklog backlog = new TargetBacklog(targets, inFlight, latency, performance, members);
        return new FairAdmission(demand, members, backlog, timer, random, log, new AdmissionMetrics(registry));
    }

    private Duties createDuties(
            final DutySettings settings,
            final DutyClient client,
            final KeyValueStore store,
            final LongSupplier wallMillis,
            final SplittableRandom random,
            final MeterRegistry registry) {
        return new Duties(
                settings,
                client,
                store,
                claims,
                () -> reader.unavailable() && members.othersWithoutStore(),
                members,
                activePlan,
                targets,
                inFlight,
                timer,
                wallMillis,
                random,
                log,
                registry);
    }

    private TargetChooser createChooser(
            final FailureDomain domain,
            final ColdTargetLimiter cold,
            final SendPermits permits,
            final SplittableRandom random) {
        return new TargetChooser(
                targets,
                inFlight,
                loads,
                residency,
                placement,
                performance,
                latency,
                cold,
                permits,
                domain,
                timer,
                random);
    }

    private List<Component> components() {
        final List<Component> components = new ArrayList<>(List.of(reader, placement, digests));
        components.addAll(savedEvidence);
        duties.ifPresent(components::add);
        return components;
    }

    private void registerGauges(final MeterRegistry registry, final TargetCrashTracker crashTracker) {
        registry.gauge("balsambank.serving.parts.suspect", crashTracker.parts(), PromptPartTracker::suspects);
        registry.gauge("balsambank.serving.targets.limited", limits, TargetLimits::limitedTargets);
        registry.gauge("balsambank.store.era", era, StoreEra::current);
        registry.gauge("balsambank.serving.targets.load.largest", loads, ReportedLoads::largestLoad);
        registry.gauge("balsambank.serving.targets.load.mean", loads, ReportedLoads::meanLoad);
        registry.gauge("balsambank.serving.targets.load.age.seconds", loads, ReportedLoads::meanAgeSeconds);
    }

    private List<SavedEvidence> createSavedEvidence(
            final KeyValueStore store, final TargetCrashTracker crashTracker, final LongSupplier wallMillis) {
        return List.of(
                new SavedPoisonRequests(
                        crashTracker.requests().registry(), store, members::isFirstFor, timer, wallMillis, log),
                new SavedPromptParts(crashTracker.parts(), store, members::isFirstFor, timer, log));
    }

    private DigestExchange createDigestExchange(
            final FailureDomain domain,
            final TeamRateLimiter rateLimiter,
            final TargetCrashTracker crashTracker,
            final FleetDemand demand,
            final SplittableRandom random) {
        return new DigestExchange(
                new AggregationTree(members.self(), domain),
                peers,
                members,
                inFlight,
                rateLimiter,
                residency,
                placement,
                crashTracker,
                limits,
                demand,
                loads,
                replica,
                reader,
                era,
                timer,
                random);
    }

    /**
     * Runs the components.
     *
     * @return fails when the VM cannot continue to serve
     */
    public Completable run() {
        return Completable.mergeArray(supervisor.run(), memberLease.run());
    }

    /**
     * Creates a request; the caller starts it.
     *
     * @param attributes the attributes of the request
     * @param caller gets this VM's own final response, if any
     * @param sender sends attempts of the request to targets
     * @return the request, not yet started
     */
    public RequestExecution newRequest(
            final RequestAttributes attributes, final CallerResponder caller, final TargetSender sender) {
        final TargetSender counted = duties.map(each -> each.counting(sender)).orElse(sender);
        return new RequestExecution(dependencies, attributes, caller, counted);
    }

    /**
     * Returns whether this VM can serve.
     *
     * @return true once a plan and at least one target are known
     */
    public boolean ready() {
        return activePlan.current().isPresent() && !targets.all().isEmpty();
    }

    /**
     * Returns whether this VM currently controls any target.
     *
     * @return true if it holds a valid claim on a target
     */
    public boolean controlsTargets() {
        return targets.all().stream().anyMatch(state -> claims.heldClaim(
                        ClaimSubject.target(state.announcement().id()))
                .isPresent());
    }

    /**
     * Returns the requests in flight, as known to this VM.
     *
     * @return the in-flight counts of this VM and its peers
     */
    InFlightRequests inFlight() {
        return inFlight;
    }

    /**
     * Returns the limits that targets have named.
     *
     * @return the limits, as known to this VM
     */
    TargetLimits limits() {
        return limits;
    }

    /**
     * Returns the loads that targets have reported.
     *
     * @return the reports, as known to this VM
     */
    ReportedLoads loads() {
        return loads;
    }

    /**
     * Returns the number of places that this VM has granted and that are taken.
     *
     * @return the places
     */
    int heldPlaces() {
        return dependencies.chooser().keeper().held();
    }

    /**
     * Returns the size and time limits for callers.
     *
     * @return the limits of the plan in force, or the defaults without a plan
     */
    public CallerBounds bounds() {
        return activePlan.current().map(ServingPlan::bounds).orElse(CallerBounds.DEFAULT);
    }

    /**
     * Returns the registered VMs.
     *
     * @return the members
     */
    public FleetMembers members() {
        return members;
    }

    /**
     * Accepts from now on only requests that end before this VM exits; callers may come for a while longer.
     *
     * @param untilNoticed the time until callers have been sent elsewhere
     * @param untilExit the time until this VM exits
     */
    public void beginStop(final Duration untilNoticed, final Duration untilExit) {
        stopWindow.begin(untilNoticed, untilExit);
    }

    /**
     * Stops controlling targets and revokes this VM's lease, so that other VMs can claim its targets.
     *
     * @return completes once the lease is revoked or the revocation has failed
     */
    public Completable handOver() {
        placement.stop();
        duties.ifPresent(Duties::stop);
        return memberLease.revoke().onErrorComplete();
    }

    @Override
    public void changed(final KeyValueChange change) {
        if (FleetMembers.isMember(change.key())) {
            members.changed(change);
            return;
        }
        if (ClaimSubject.isClaim(change.key())) {
            claims.applyChange(change);
            return;
        }
        if (Duties.isKey(change.key())) {
            duties.ifPresent(each -> each.changed(change));
            return;
        }
        final Optional<SavedEvidence> evidence =
                savedEvidence.stream().filter(each -> each.isKey(change.key())).findFirst();
        if (evidence.isPresent()) {
            evidence.get().changed(change);
            return;
        }
        parser.parse(change).ifPresent(update -> apply(update, change));
    }

    @Override
    public void storeRecovered(final Duration ago) {
        targets.storeRecovered(ago);
    }

    @Override
    public void eraComplete(final long completed) {
        savedEvidence.forEach(each -> each.beginEra(completed));
        log.line("store_era_complete")
                .with("era", completed)
                .with("retained", replica.retained().size())
                .write();
    }

    /** Runs before the lease ends for the same reason, as the claims to take again are those held until now. */
    private void beginEra(final long newEra) {
        log.line("store_era").with("era", newEra).write();
        claims.beginEra(newEra);
        members.beginEra(newEra);
        duties.ifPresent(Duties::beginEra);
    }

    private void apply(final EntryUpdate update, final KeyValueChange change) {
        if (update instanceof EntryUpdate.PlanUpdate planUpdate) {
            activePlan.update(planUpdate.plan(), change.revision());
        } else if (update instanceof EntryUpdate.TargetUpdate targetUpdate) {
            applyTarget(targetUpdate, change.revision());
        } else if (update instanceof EntryUpdate.DomainUpdate domainUpdate) {
            targets.setDomainOut(domainUpdate.domain(), domainUpdate.out());
        } else if (update instanceof EntryUpdate.AdapterVersionUpdate versionUpdate) {
            residency.recordVersion(versionUpdate.adapter(), versionUpdate.version());
            log.line("adapter_version")
                    .with("adapter", versionUpdate.adapter().toString())
                    .with("version", versionUpdate.version())
                    .with("revision", change.revision())
                    .write();
        } else if (update instanceof EntryUpdate.InvalidEntry invalid) {
            log.line("entry_ignored")
                    .with("key", change.key())
                    .with("reason", invalid.reason())
                    .write();
        }
    }

    private void applyTarget(final EntryUpdate.TargetUpdate update, final long revision) {
        if (update.announcement().isEmpty()) {
            targets.recordRemoval(update.id(), revision);
            return;
        }
        if (targets.recordAnnouncement(update.announcement().get(), revision)) {
            residency.remove(update.id());
            performance.remove(update.id());
        }
    }

    private static MemberRecord memberRecord(final ServingSettings settings) {
        return MemberLease.record(
                settings.vm(), UUID.randomUUID().toString(), settings.domain(), settings.host(), settings.peerPort());
    }

    private static OwnershipSettings leaseSettings() {
        final OwnershipSettings defaults = OwnershipSettings.SMALL_FLEET;
        return new OwnershipSettings(
                defaults.partitions(),
                LEASE_DURATION,
                RENEW_INTERVAL,
                LEASE_MARGIN,
                defaults.takeOverMargin(),
                defaults.promiseFor(),
                defaults.promiseMargin(),
                defaults.scansPerSecond());
    }

    /**
     * The lease of this VM, valid only while the clock gap detector has seen no uncounted time. While no VM can read
     * the key-value service, none can take over a claim, so the lease stays valid although it cannot be renewed.
     */
    private final class CurrentLease implements LeaseView {
        @Override
        public Optional<LeaseId> current() {
            return memberLease.lease();
        }

        @Override
        public boolean valid() {
            return !jumps.jumped() && (memberLease.protects(memberLease.member()) || extended());
        }

        /**
         * Returns whether the lease stays valid although it can't be renewed. If the service comes back in a new era
         * without the claims, the other VMs claim only after the lease time, and this VM hears of a VM that reads the
         * service sooner.
         */
        private boolean extended() {
            return reader.unavailable() && members.othersWithoutStore();
        }

        @Override
        public Duration remaining() {
            return jumps.jumped() ? Duration.ZERO : memberLease.remaining();
        }
    }
}
