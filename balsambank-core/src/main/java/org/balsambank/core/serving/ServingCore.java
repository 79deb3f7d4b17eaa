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
import org.balsambank.core.partition.LeaseKeeper;
import org.balsambank.core.partition.OwnershipSettings;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.PeerLink;
import org.balsambank.core.port.PolledKeyValueStore;
import org.balsambank.core.serving.admission.ColdShare;
import org.balsambank.core.serving.admission.TeamBuckets;
import org.balsambank.core.serving.choice.EngineModels;
import org.balsambank.core.serving.choice.TargetChooser;
import org.balsambank.core.serving.fleet.AggregationTree;
import org.balsambank.core.serving.fleet.DigestExchange;
import org.balsambank.core.serving.fleet.FleetMembers;
import org.balsambank.core.serving.fleet.LossBook;
import org.balsambank.core.serving.fleet.PeerEntries;
import org.balsambank.core.serving.placement.ClaimKeys;
import org.balsambank.core.serving.placement.HoldingBook;
import org.balsambank.core.serving.placement.LeaseView;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.TargetClaims;
import org.balsambank.core.serving.placement.TargetOrders;
import org.balsambank.core.serving.plan.CallerBounds;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.replica.EntryListener;
import org.balsambank.core.serving.replica.EntryReplica;
import org.balsambank.core.serving.replica.ReplicaReader;
import org.balsambank.core.serving.request.CallFacts;
import org.balsambank.core.serving.request.CallerSide;
import org.balsambank.core.serving.request.RequestRun;
import org.balsambank.core.serving.request.RunMeters;
import org.balsambank.core.serving.request.RunParts;
import org.balsambank.core.serving.request.ServiceRetries;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.serving.target.FlightBook;
import org.balsambank.core.serving.target.PaceBook;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.supervise.Supervisor;
import org.balsambank.core.time.ClockGap;
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

    private final FactReader facts;
    private final PeerLink peers;
    private final TimerService timer;
    private final DecisionLog log;
    private final EntryReplica replica = new EntryReplica();
    private final PlanBook plans;
    private final TargetTable targets;
    private final HoldingBook holdings = new HoldingBook();
    private final FlightBook flights = new FlightBook();
    private final PaceBook paces = new PaceBook();
    private final EngineModels engines = new EngineModels();
    private final FleetMembers members;
    private final LeaseKeeper lease;
    private final ClockGap gap;
    private final TargetClaims claims;
    private final Placement placement;
    private final ReplicaReader reader;
    private final DigestExchange digests;
    private final RunParts parts;
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
            final FactReader facts,
            final TargetOrders orders,
            final PeerLink peers,
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
        plans = new PlanBook(timer, log);
        targets = new TargetTable(timer, log);
        members = new FleetMembers(self, timer, log);
        gap = new ClockGap(timer, wallMillis);
        lease = new LeaseKeeper(member(settings), store, leaseSettings(), timer, gap::ask, gap::mark);
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
        final TeamBuckets buckets = new TeamBuckets(timer, members, settings.rateSlack());
        final LossBook losses = new LossBook(timer);
        final ColdShare cold = new ColdShare(timer, members, settings.coldOverage(), settings.coldSlack());
        final TargetChooser chooser = new TargetChooser(
                targets, flights, holdings, placement, paces, engines, cold, settings.domain(), timer, random);
        reader = new ReplicaReader(store, replica, new PeerEntries(peers, members, replica, random), this, timer, log);
        digests = openDigests(new AggregationTree(self, settings.domain()), buckets, losses, random);
        parts = new RunParts(
                plans,
                targets,
                chooser,
                placement,
                holdings,
                flights,
                paces,
                engines,
                buckets,
                new ServiceRetries(settings.retryShare(), settings.retryReserve(), members),
                cold,
                losses,
                timer,
                random,
                log,
                new RunMeters(registry));
        supervisor = new Supervisor("serving", List.of(reader, placement, digests), timer, registry);
    }

    private DigestExchange openDigests(
            final AggregationTree tree,
            final TeamBuckets buckets,
            final LossBook losses,
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
    public RequestRun request(final CallFacts call, final CallerSide caller, final TargetSender sender) {
        return new RequestRun(parts, call, caller, sender);
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
    public boolean givesOrders() {
        return targets.all().stream()
                .anyMatch(belief -> claims.right(belief.entry().id()).isPresent());
    }

    /**
     * Returns what all VMs are known to have under way.
     *
     * @return the book of this VM
     */
    FlightBook flights() {
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
        facts.read(change).ifPresent(fact -> take(fact, change));
    }

    @Override
    public void regained(final Duration ago) {
        targets.regained(ago);
    }

    private void take(final Fact fact, final KeyValueChange change) {
        if (fact instanceof Fact.PlanFact known) {
            plans.announced(known.plan(), change.revision());
        } else if (fact instanceof Fact.TargetFact known) {
            takeTarget(known, change.revision());
        } else if (fact instanceof Fact.DomainFact known) {
            targets.domain(known.domain(), known.out());
        } else if (fact instanceof Fact.VersionFact known) {
            holdings.announced(known.adapter(), known.version());
            log.line("adapter_version")
                    .with("adapter", known.adapter().toString())
                    .with("version", known.version())
                    .with("revision", change.revision())
                    .write();
        } else if (fact instanceof Fact.Unusable known) {
            log.line("entry_ignored")
                    .with("key", change.key())
                    .with("reason", known.reason())
                    .write();
        }
    }

    private void takeTarget(final Fact.TargetFact fact, final long revision) {
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
        return LeaseKeeper.record(
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
            return kept && !gap.open();
        }
    }
}
