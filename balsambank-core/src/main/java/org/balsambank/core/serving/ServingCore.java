package org.balsambank.core.serving;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.partition.MemberLease;
import org.balsambank.core.partition.OwnershipSettings;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.PolledKeyValueStore;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.TeamRateLimiter;
import org.balsambank.core.serving.choice.EngineLatencyModels;
import org.balsambank.core.serving.choice.TargetChooser;
import org.balsambank.core.serving.fleet.AggregationTree;
import org.balsambank.core.serving.fleet.DigestExchange;
import org.balsambank.core.serving.fleet.FleetMembers;
import org.balsambank.core.serving.fleet.PeerEntrySource;
import org.balsambank.core.serving.fleet.TargetCrashTracker;
import org.balsambank.core.serving.placement.ClaimKeys;
import org.balsambank.core.serving.placement.LeaseView;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.placement.TargetClaims;
import org.balsambank.core.serving.placement.TargetOrderClient;
import org.balsambank.core.serving.plan.CallerBounds;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.replica.EntryListener;
import org.balsambank.core.serving.replica.EntryReplica;
import org.balsambank.core.serving.replica.ReplicaReader;
import org.balsambank.core.serving.request.CallerResponder;
import org.balsambank.core.serving.request.RequestAttributes;
import org.balsambank.core.serving.request.RequestDependencies;
import org.balsambank.core.serving.request.RequestExecution;
import org.balsambank.core.serving.request.RequestMetrics;
import org.balsambank.core.serving.request.ServiceRetryBudgets;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.supervise.Supervisor;
import org.balsambank.core.time.ClockJumpDetector;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * All that a VM decides while it serves, wired together.
 *
 * <p>Confined to the decision loop.
 */
public final class ServingCore implements EntryListener {
    private static final Duration LEASE = Duration.ofMillis(3_000);
    private static final Duration RENEW = Duration.ofMillis(900);
    private static final Duration LEASE_MARGIN = Duration.ofMillis(500);

    private final EntryParser facts;
    private final PeerTransport peers;
    private final TimerService timer;
    private final DecisionLog log;
    private final EntryReplica replica = new EntryReplica();
    private final ActivePlan plans;
    private final TargetTable targets;
    private final ResidencyTable holdings = new ResidencyTable();
    private final InFlightRequests flights = new InFlightRequests();
    private final TargetPerformance paces = new TargetPerformance();
    private final EngineLatencyModels engines = new EngineLatencyModels();
    private final FleetMembers members;
    private final MemberLease lease;
    private final ClockJumpDetector gap;
    private final TargetClaims claims;
    private final Placement placement;
    private final ReplicaReader reader;
    private final DigestExchange digests;
    private final RequestDependencies parts;
    private final Supervisor supervisor;

    /**
     * Wires the parts. Nothing runs yet.
     *
     * @param settings what the VM has to know
     * @param store the key-value service
     * @param facts reads the entries of others
     * @param orders speaks to targets
     * @param peers the links to the other VMs
     * @param timer gives the time
     * @param wallMillis gives the time of day, to notice time that the clock did not count
     * @param log takes a line for each decision
     * @param registry counts what happens
     */
    public ServingCore(
            final ServingSettings settings,
            final PolledKeyValueStore store,
            final EntryParser facts,
            final TargetOrderClient orders,
            final PeerTransport peers,
            final TimerService timer,
            final LongSupplier wallMillis,
            final DecisionLog log,
            final MeterRegistry registry) {
        this.facts = Objects.requireNonNull(facts);
        this.peers = Objects.requireNonNull(peers);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        final SplittableRandom random = new SplittableRandom();
        final VmId self = settings.vm();
        plans = new ActivePlan(timer, log);
        targets = new TargetTable(timer, log);
        members = new FleetMembers(self, timer, log);
        gap = new ClockJumpDetector(timer, wallMillis);
        lease = new MemberLease(
                member(settings), store, leaseSettings(), timer, gap::requestSent, gap::responseReceived);
        claims = new TargetClaims(self, store, new Lease(), timer, log);
        placement = new Placement(
                self,
                targets,
                claims,
                name -> plans.current().flatMap(plan -> plan.service(name)).flatMap(spec -> spec.engine()),
                members::all,
                orders,
                flights,
                holdings,
                peers,
                timer,
                log);
        final TeamRateLimiter buckets = new TeamRateLimiter(timer, members, settings.rateSlack());
        final TargetCrashTracker losses = new TargetCrashTracker(timer);
        final ColdTargetLimiter cold =
                new ColdTargetLimiter(timer, members, settings.coldOverage(), settings.coldSlack());
        final TargetChooser chooser = new TargetChooser(
                targets, flights, holdings, placement, paces, engines, cold, settings.domain(), timer, random);
        reader = new ReplicaReader(
                store, replica, new PeerEntrySource(peers, members, replica, random), this, timer, log);
        digests = openDigests(new AggregationTree(self, settings.domain()), buckets, losses, random);
        parts = new RequestDependencies(
                plans,
                targets,
                chooser,
                placement,
                holdings,
                flights,
                paces,
                engines,
                buckets,
                new ServiceRetryBudgets(settings.retryShare(), settings.retryReserve(), members),
                cold,
                losses,
                timer,
                random,
                log,
                new RequestMetrics(registry));
        supervisor = new Supervisor("serving", List.of(reader, placement, digests), timer, registry);
    }

    private DigestExchange openDigests(
            final AggregationTree tree,
            final TeamRateLimiter buckets,
            final TargetCrashTracker losses,
            final SplittableRandom random) {
        return new DigestExchange(
                tree, peers, members, flights, buckets, holdings, placement, losses, replica, reader, timer, random);
    }

    /**
     * Runs the parts.
     *
     * @return fails when the VM can't go on
     */
    public Completable run() {
        return Completable.mergeArray(supervisor.run(), lease.run());
    }

    /**
     * Makes a request that has not begun.
     *
     * @param call what the caller has sent
     * @param caller takes the answer
     * @param sender sends the request to targets
     * @return the request
     */
    public RequestExecution newRequest(
            final RequestAttributes call, final CallerResponder caller, final TargetSender sender) {
        return new RequestExecution(parts, call, caller, sender);
    }

    /**
     * Tells whether this VM can serve.
     *
     * @return true once it knows a plan and a target
     */
    public boolean ready() {
        return plans.current().isPresent() && !targets.all().isEmpty();
    }

    /**
     * Tells whether this VM gives orders to any target at this instant.
     *
     * @return true if it has a claim that counts
     */
    public boolean controlsTargets() {
        return targets.all().stream()
                .anyMatch(belief -> claims.right(belief.entry().id()).isPresent());
    }

    /**
     * Returns what all VMs are known to have under way.
     *
     * @return the book of this VM
     */
    InFlightRequests flights() {
        return flights;
    }

    /**
     * Returns what callers may send.
     *
     * @return the bounds of the plan in force, or the defaults
     */
    public CallerBounds bounds() {
        return plans.current().map(ServingPlan::bounds).orElse(CallerBounds.DEFAULT);
    }

    /**
     * Returns the other VMs.
     *
     * @return the members
     */
    public FleetMembers members() {
        return members;
    }

    /**
     * Hands over what this VM decides for the fleet.
     *
     * @return completes when the others may go on
     */
    public Completable handOver() {
        placement.stop();
        return lease.revoke().onErrorComplete();
    }

    @Override
    public void changed(final KeyValueChange change) {
        if (FleetMembers.isMember(change.key())) {
            members.changed(change);
            return;
        }
        if (ClaimKeys.isClaim(change.key())) {
            claims.changed(change);
            return;
        }
        facts.parse(change).ifPresent(fact -> take(fact, change));
    }

    @Override
    public void regained(final Duration ago) {
        targets.regained(ago);
    }

    private void take(final EntryUpdate fact, final KeyValueChange change) {
        if (fact instanceof EntryUpdate.PlanUpdate known) {
            plans.announced(known.plan(), change.revision());
        } else if (fact instanceof EntryUpdate.TargetUpdate known) {
            takeTarget(known, change.revision());
        } else if (fact instanceof EntryUpdate.DomainUpdate known) {
            targets.domain(known.domain(), known.out());
        } else if (fact instanceof EntryUpdate.AdapterVersionUpdate known) {
            holdings.announced(known.adapter(), known.version());
            log.line("adapter_version")
                    .with("adapter", known.adapter().toString())
                    .with("version", known.version())
                    .with("revision", change.revision())
                    .write();
        } else if (fact instanceof EntryUpdate.InvalidEntry known) {
            log.line("entry_ignored")
                    .with("key", change.key())
                    .with("reason", known.reason())
                    .write();
        }
    }

    private void takeTarget(final EntryUpdate.TargetUpdate fact, final long revision) {
        if (fact.entry().isEmpty()) {
            targets.removed(fact.id(), revision);
            return;
        }
        if (targets.announced(fact.entry().get(), revision)) {
            holdings.forget(fact.id());
            paces.forget(fact.id());
        }
    }

    private static MemberRecord member(final ServingSettings settings) {
        return MemberLease.record(
                settings.vm(), UUID.randomUUID().toString(), settings.domain(), settings.host(), settings.peerPort());
    }

    private static OwnershipSettings leaseSettings() {
        final OwnershipSettings small = OwnershipSettings.SMALL_FLEET;
        return new OwnershipSettings(
                small.partitions(),
                LEASE,
                RENEW,
                LEASE_MARGIN,
                small.takeOverMargin(),
                small.promiseFor(),
                small.promiseMargin(),
                small.scansPerSecond());
    }

    /**
     * The lease, trusted only while the clock has counted all the time. While no VM can read the key-value service,
     * none can take a claim over, so that the lease counts on although it can't be renewed.
     */
    private final class Lease implements LeaseView {
        @Override
        public Optional<LeaseId> current() {
            return lease.lease();
        }

        @Override
        public boolean valid() {
            final boolean kept = lease.protects(lease.member()) || reader.lost() && members.othersWithoutStore();
            return kept && !gap.jumped();
        }
    }
}
