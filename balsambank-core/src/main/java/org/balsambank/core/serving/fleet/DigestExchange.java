package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.port.StoreEra;
import org.balsambank.core.serving.admission.FleetDemand;
import org.balsambank.core.serving.admission.TeamRateLimiter;
import org.balsambank.core.serving.load.LoadReport;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.replica.EntryReplica;
import org.balsambank.core.serving.replica.ReplicaReader;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.BrokenRuns;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.Holding;
import org.balsambank.protocol.generated.serving.LimitReport;
import org.balsambank.protocol.generated.serving.PartReport;
import org.balsambank.protocol.generated.serving.TargetLoadReport;
import org.balsambank.protocol.generated.serving.TargetUse;
import org.balsambank.protocol.generated.serving.TeamUse;

/**
 * Sends changes of this VM's state to the fleet, and receives changes from the other VMs, along the
 * {@link AggregationTree}.
 *
 * <p>A VM calls its parent several times a second with a digest of the changes on its side of the edge; the response
 * contains the changes on the other side. The number of messages per VM therefore does not grow with the fleet. A
 * parent that does not respond is skipped for a while; its last reports remain in use until the next parent responds.
 *
 * <p>Invariant: state received over an edge is never sent back over the same edge. Confined to the decision loop.
 */
public final class DigestExchange implements Component {
    private static final Duration ROOT_INTERVAL = Duration.ofMillis(100);
    private static final Duration WAIT_INTERVAL = Duration.ofMillis(25);
    private static final long CALL_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();
    private static final long DOMAIN_HEAD_CALL_INTERVAL_NANOS =
            Duration.ofMillis(50).toNanos();
    private static final long IDLE_CALL_INTERVAL_NANOS = Duration.ofMillis(125).toNanos();
    private static final long EDGE_TIMEOUT_NANOS = Duration.ofMillis(900).toNanos();
    private static final long SKIP_NANOS = Duration.ofMillis(1_000).toNanos();
    /**
     * The most reports of loads in one digest. With 10 exchanges a second this bounds them to 80 reports of some 30
     * bytes a second on an edge, below 3 KB.
     */
    private static final int MAX_LOADS = 8;

    private static final Duration TIMEOUT = Duration.ofMillis(450);

    private final AggregationTree tree;
    private final PeerTransport peers;
    private final FleetMembers members;
    private final InFlightRequests inFlight;
    private final TeamRateLimiter rateLimiter;
    private final ResidencyTable residency;
    private final Placement placement;
    private final TargetCrashTracker crashTracker;
    private final TargetLimits limits;
    private final DemandReports demand;
    private final ReportedLoads loads;
    private final EntryReplica replica;
    private final ReplicaReader reader;
    private final StoreEra era;
    private final TimerService timer;
    private final RandomGenerator random;
    private DigestExtension extension = DigestExtension.NONE;
    private final Map<VmId, TreeEdge> edges = new LinkedHashMap<>();
    private final Map<VmId, Long> skippedSince = new HashMap<>();
    private final Map<TeamId, Long> recordedUnits = new HashMap<>();
    private Optional<VmId> parent = Optional.empty();
    private Optional<VmId> formerParent = Optional.empty();
    private boolean domainHead;
    private boolean calling;
    private boolean idle;
    private long lastCallNanos;
    private int retainedChanges;

    /**
     * Creates the exchange and serves the digests of other VMs.
     *
     * @param tree the tree as seen by this VM
     * @param peers the transport to the other VMs
     * @param members the registered VMs
     * @param inFlight the requests in flight
     * @param rateLimiter the usage of teams
     * @param residency the adapters and models resident at targets
     * @param placement the targets that this VM controls
     * @param crashTracker the requests and parts of prompts whose targets crashed
     * @param limits the limits that targets have named
     * @param demand the demand for services
     * @param loads the loads that targets have reported
     * @param replica the entries that this VM knows
     * @param reader keeps the replica up to date
     * @param era the newest known era of the key-value service
     * @param timer the timer service
     * @param random generates session ids
     */
    public DigestExchange(
            final AggregationTree tree,
            final PeerTransport peers,
            final FleetMembers members,
            final InFlightRequests inFlight,
            final TeamRateLimiter rateLimiter,
            final ResidencyTable residency,
            final Placement placement,
            final TargetCrashTracker crashTracker,
            final TargetLimits limits,
            final FleetDemand demand,
            final ReportedLoads loads,
            final EntryReplica replica,
            final ReplicaReader reader,
            final StoreEra era,
            final TimerService timer,
            final RandomGenerator random) {
        this.tree = Objects.requireNonNull(tree);
        this.peers = Objects.requireNonNull(peers);
        this.members = Objects.requireNonNull(members);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.rateLimiter = Objects.requireNonNull(rateLimiter);
        this.residency = Objects.requireNonNull(residency);
        this.placement = Objects.requireNonNull(placement);
        this.crashTracker = Objects.requireNonNull(crashTracker);
        this.limits = Objects.requireNonNull(limits);
        this.demand = new DemandReports(demand, timer);
        this.loads = Objects.requireNonNull(loads);
        this.replica = Objects.requireNonNull(replica);
        this.reader = Objects.requireNonNull(reader);
        this.era = Objects.requireNonNull(era);
        this.timer = Objects.requireNonNull(timer);
        this.random = Objects.requireNonNull(random);
        peers.serve(FleetMethods.DIGEST, (from, digest) -> Flowable.fromCallable(() -> serve(from, digest)));
    }

    /**
     * Sets what adds to digests; replaces the previous one.
     *
     * @param added adds to each digest that is sent, and receives what others have added
     */
    public void extendWith(final DigestExtension added) {
        extension = Objects.requireNonNull(added);
    }

    @Override
    public String name() {
        return "digests";
    }

    @Override
    public Completable run() {
        return Completable.defer(() -> {
                    step();
                    return timer.after(delayUntilNextStep());
                })
                .repeat();
    }

    private void step() {
        dropSilentEdges();
        recordLocalChanges();
        chooseParent();
        domainHead = parent.isPresent() && tree.isDomainHead(members.others(), parent.get());
        reader.readsStore(parent.isEmpty() || domainHead);
        if (parent.isPresent() && !calling && timer.nanoTime() - lastCallNanos >= interval()) {
            call(edges.get(parent.get()));
        }
    }

    /**
     * Returns the delay until the next step. It is short while a digest is in flight, as the parent may have failed.
     */
    private Duration delayUntilNextStep() {
        if (parent.isEmpty()) {
            return ROOT_INTERVAL;
        }
        final long due = lastCallNanos + interval() - timer.nanoTime();
        return due <= 0 ? WAIT_INTERVAL : Duration.ofNanos(due);
    }

    private long interval() {
        if (domainHead) {
            return DOMAIN_HEAD_CALL_INTERVAL_NANOS;
        }
        return idle && !edges.get(parent.get()).hasChanges() ? IDLE_CALL_INTERVAL_NANOS : CALL_INTERVAL_NANOS;
    }

    private void chooseParent() {
        final long now = timer.nanoTime();
        skippedSince.values().removeIf(since -> now - since > SKIP_NANOS);
        final Optional<VmId> preferred = tree.parent(members.others(), vm -> !skippedSince.containsKey(vm));
        if (calling || preferred.equals(parent)) {
            return;
        }
        final Optional<TreeEdge> previousEdge = parent.map(edges::get);
        final Optional<VmId> answeredLast =
                previousEdge.filter(TreeEdge::hasReceived).isPresent() ? parent : formerParent;
        previousEdge.filter(edge -> !edge.hasReceived()).ifPresent(this::dropEdge);
        formerParent.filter(vm -> !answeredLast.equals(formerParent)).ifPresent(vm -> dropEdgeTo(vm));
        formerParent = answeredLast.filter(vm -> !preferred.equals(Optional.of(vm)));
        parent = preferred;
        preferred.ifPresent(vm -> {
            dropEdgeTo(vm);
            final TreeEdge edge = openEdge(vm);
            previousEdge.ifPresent(previous -> previous.unacknowledgedUnits().forEach(edge::admitted));
        });
        idle = false;
        lastCallNanos = now - CALL_INTERVAL_NANOS;
    }

    private boolean isParent(final TreeEdge edge) {
        return parent.filter(edge.other()::equals).isPresent();
    }

    private TreeEdge openEdge(final VmId vm) {
        final TreeEdge edge = new TreeEdge(vm, random.nextLong() | 1, timer.nanoTime());
        edges.put(vm, edge);
        return edge;
    }

    private void dropEdgeTo(final VmId vm) {
        Optional.ofNullable(edges.get(vm)).ifPresent(this::dropEdge);
    }

    private void dropEdge(final TreeEdge edge) {
        edges.remove(edge.other(), edge);
        removeUsage(edge);
        extension.edgeDropped(edge.other());
        if (formerParent.equals(Optional.of(edge.other()))) {
            formerParent = Optional.empty();
        }
        updateReachable();
    }

    private void removeUsage(final TreeEdge edge) {
        inFlight.removePeer(edge.other()).forEach(target -> usageChanged(target, edge));
        demand.removePeer(edge.other());
    }

    private void call(final TreeEdge edge) {
        calling = true;
        lastCallNanos = timer.nanoTime();
        final boolean unchanged = !edge.hasChanges();
        peers.call(edge.other(), FleetMethods.DIGEST, digest(edge), TIMEOUT)
                .subscribe(
                        response -> {
                            calling = false;
                            receive(edge, response);
                            idle = unchanged && isEmpty(response);
                            formerParent.ifPresent(this::dropEdgeTo);
                        },
                        error -> {
                            calling = false;
                            edge.resendAll();
                            skippedSince.put(edge.other(), timer.nanoTime());
                        });
    }

    private static boolean isEmpty(final Digest digest) {
        return digest.getUsesCount() == 0
                && digest.getTeamsCount() == 0
                && digest.getHoldingsCount() == 0
                && digest.getLimitsCount() == 0
                && digest.getLoadsCount() == 0;
    }

    private Digest serve(final VmId from, final Digest received) {
        TreeEdge edge = edges.get(from);
        if (edge == null) {
            edge = openEdge(from);
        }
        recordLocalChanges();
        receive(edge, received);
        return digest(edge);
    }

    /** Creates a digest of the changes that were not sent over an edge yet. */
    private Digest digest(final TreeEdge edge) {
        final Digest.Builder digest = Digest.newBuilder();
        final boolean full = edge.full();
        final Set<VmId> excluded = excludedVms(edge);
        final Set<TargetId> usageTargets = edge.drainUsage();
        for (final TargetId target : full ? inFlight.targets() : usageTargets) {
            final InFlightRequests.Usage usage = inFlight.totalExcluding(target, excluded);
            digest.addUses(DigestCodec.usage(target, usage, edge.sameAdapters(target, usage.adapters())));
        }
        edge.drainUnits()
                .forEach((team, units) -> digest.addTeams(
                        TeamUse.newBuilder().setTeam(team.value()).setUnits(units)));
        final Set<TargetId> residencyTargets = edge.drainResidency();
        for (final TargetId target : full ? residency.reportedTargets() : residencyTargets) {
            residency.findReport(target).ifPresent(report -> digest.addHoldings(DigestCodec.residency(target, report)));
        }
        digest.addAllBroken(edge.crashesToSend());
        if (full) {
            digest.addAllBroken(crashTracker.poisonReports());
        }
        final Set<PromptPartId> changedParts = edge.drainParts();
        for (final PromptPartId part : full ? crashTracker.parts().parts() : changedParts) {
            crashTracker.parts().report(part).ifPresent(digest::addParts);
        }
        final Set<TargetStart> changedLimits = edge.drainLimits();
        for (final TargetStart target : full ? limits.starts() : changedLimits) {
            digest.addLimits(DigestCodec.limit(limits.report(target)));
        }
        demand.addTo(digest, edge.other(), full, excluded);
        if (full) {
            loads.recent().forEach(edge::loadChanged);
        }
        for (final TargetId target : edge.drainLoads(MAX_LOADS)) {
            loads.of(target).ifPresent(report -> digest.addLoads(DigestCodec.load(report)));
        }
        final long recoveredMillis =
                reader.sinceRecovery().map(since -> since.toMillis() + 1).orElse(0L);
        digest.setVms(1 + count(excluded, false))
                .setReaders((reader.unavailable() ? 0 : 1) + count(excluded, true))
                .setRevision(replica.revision())
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, reader.age().toMillis()))
                .setRegainedMillis(recoveredMillis)
                .setCopyEnd(era.copyEnd());
        if (!isParent(edge) && edge.revision() > 0) {
            replica.changesAfter(edge.revision()).forEach(change -> digest.addEntries(DigestCodec.entry(change)));
        }
        extension.add(digest, edge.other(), excluded, full);
        if (edge.drainRetained() || full) {
            replica.retained().forEach(change -> digest.addEntries(DigestCodec.entry(change)));
        }
        edge.addHeader(digest);
        return digest.build();
    }

    /**
     * Returns the VMs whose reports must not be sent over an edge: the VM at its other end, and towards the parent also
     * the former parent.
     */
    private Set<VmId> excludedVms(final TreeEdge edge) {
        final boolean towardsParent = isParent(edge);
        return towardsParent && formerParent.isPresent()
                ? Set.of(edge.other(), formerParent.get())
                : Set.of(edge.other());
    }

    private int count(final Set<VmId> excluded, final boolean readers) {
        int total = 0;
        for (final TreeEdge each : edges.values()) {
            if (!excluded.contains(each.other())) {
                total += readers ? each.readers() : each.vms();
            }
        }
        return total;
    }

    private void receive(final TreeEdge edge, final Digest digest) {
        era.reached(digest.getCopyEnd());
        era.reached(digest.getRevision());
        final boolean usable = edge.receive(digest, timer.nanoTime());
        updateReachable();
        if (!usable || edges.get(edge.other()) != edge) {
            return;
        }
        if (digest.getFull()) {
            removeUsage(edge);
        }
        digest.getUsesList().forEach(usage -> applyUsage(edge, usage));
        digest.getTeamsList().forEach(usage -> applyUnits(edge, usage));
        digest.getHoldingsList().forEach(holding -> applyResidency(edge, holding));
        digest.getBrokenList().forEach(crash -> applyCrash(edge, crash, digest.getFull()));
        digest.getPartsList().forEach(report -> applyPart(edge, report));
        digest.getLimitsList().forEach(report -> applyLimit(edge, report));
        demand.apply(edge.other(), digest);
        digest.getLoadsList().forEach(report -> applyLoad(edge, report));
        extension.received(edge.other(), digest);
        if (isParent(edge)) {
            reader.applyForwarded(
                    digest.getRevision(),
                    Duration.ofNanos(timer.nanoTime() - lastCallNanos).plusMillis(digest.getAgeMillis()),
                    Duration.ofMillis(digest.getRegainedMillis()),
                    DigestCodec.changes(digest.getEntriesList()));
        } else {
            reader.applyRetained(DigestCodec.changes(digest.getEntriesList()));
        }
    }

    private void applyUsage(final TreeEdge edge, final TargetUse usage) {
        final TargetId target = new TargetId(usage.getTarget());
        final InFlightRequests.Usage previous = inFlight.peerUsage(edge.other(), target);
        inFlight.peerUsage(edge.other(), target, DigestCodec.usage(usage, previous.adapters()));
        usageChanged(target, edge);
    }

    private void applyUnits(final TreeEdge edge, final TeamUse usage) {
        final TeamId team = new TeamId(usage.getTeam());
        final long added = edge.newUnits(team, usage.getUnits());
        if (added != 0) {
            rateLimiter.admittedElsewhere(team, added);
            edgesExcept(edge).forEach(each -> each.admitted(team, added));
        }
    }

    private void applyResidency(final TreeEdge edge, final Holding holding) {
        final TargetId target = new TargetId(holding.getTarget());
        if (residency.recordReport(target, DigestCodec.residency(holding))) {
            edgesExcept(edge).forEach(each -> each.residencyChanged(target));
        }
    }

    private void applyCrash(final TreeEdge edge, final BrokenRuns crash, final boolean full) {
        if (crashTracker.recordReport(crash, !full)) {
            edgesExcept(edge).forEach(each -> each.crashed(crash));
        }
    }

    private void applyPart(final TreeEdge edge, final PartReport report) {
        if (crashTracker.parts().recordReport(report)) {
            edgesExcept(edge).forEach(each -> each.partChanged(new PromptPartId(report.getPart())));
        }
    }

    private void applyLimit(final TreeEdge edge, final LimitReport report) {
        final TargetLimits.Report decoded = DigestCodec.limit(report);
        if (limits.recordReport(decoded, edge.other())) {
            edgesExcept(edge).forEach(each -> each.limitChanged(decoded.start()));
        }
    }

    private void applyLoad(final TreeEdge edge, final TargetLoadReport report) {
        final LoadReport decoded = DigestCodec.load(report);
        if (loads.recordReport(decoded)) {
            edgesExcept(edge).forEach(each -> each.loadChanged(decoded.start().target()));
        }
    }

    private void usageChanged(final TargetId target, final TreeEdge source) {
        edgesExcept(source).forEach(each -> each.usageChanged(target));
    }

    private List<TreeEdge> edgesExcept(final TreeEdge source) {
        return edges.values().stream().filter(each -> each != source).toList();
    }

    /** Records the changes of this VM's own state at all edges. */
    private void recordLocalChanges() {
        final Set<TargetId> changedUsage = inFlight.drainChanged();
        final Set<TargetId> changedResidency = placement.drainChanged();
        final List<BrokenRuns> crashes = crashTracker.drainUnreported();
        final Set<PromptPartId> changedParts = crashTracker.parts().drainChanged();
        final Set<TargetStart> changedLimits = limits.drainChanged();
        final Set<TargetId> changedLoads = loads.drainChanged();
        rateLimiter.totals().forEach((team, total) -> {
            final Long previous = recordedUnits.put(team, total);
            final long added = total - (previous == null ? 0 : previous);
            if (added != 0) {
                edges.values().forEach(edge -> edge.admitted(team, added));
            }
        });
        if (retainedChanges != reader.retainedChanges()) {
            retainedChanges = reader.retainedChanges();
            edges.values().forEach(TreeEdge::retainedChanged);
        }
        for (final TreeEdge edge : edges.values()) {
            changedUsage.forEach(edge::usageChanged);
            changedResidency.forEach(edge::residencyChanged);
            crashes.forEach(edge::crashed);
            changedParts.forEach(edge::partChanged);
            changedLimits.forEach(edge::limitChanged);
            changedLoads.forEach(edge::loadChanged);
        }
    }

    private void dropSilentEdges() {
        final long now = timer.nanoTime();
        for (final TreeEdge edge : List.copyOf(edges.values())) {
            if (now - edge.receivedNanos() > EDGE_TIMEOUT_NANOS && !isParent(edge)) {
                dropEdge(edge);
            }
        }
    }

    private void updateReachable() {
        members.setReachable(1 + count(Set.of(), false), count(Set.of(), true));
    }
}
