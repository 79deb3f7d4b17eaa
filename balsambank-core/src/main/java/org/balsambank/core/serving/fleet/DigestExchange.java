package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
import org.balsambank.core.serving.admission.TeamRateLimiter;
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
import org.balsambank.protocol.generated.serving.TargetUse;
import org.balsambank.protocol.generated.serving.TeamUse;

/**
 * Sends changes of this VM's state to the fleet, and receives changes from the other VMs, along the
 * {@link AggregationTree}.
 *
 * <p>A VM calls its parent several times a second with a digest of the changes on its side of the edge; the response
 * contains the changes on the other side. The number of messages per VM therefore does not grow with the fleet. A VM
 * keeps exchanging digests with its parent until a better one has responded, so that a VM that cannot be reached costs
 * no reports. While its parent does not respond, it calls one candidate after the other without waiting for them; the
 * first one that responds becomes the parent. It tells the former parent, so that its side is not counted twice.
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
    private static final double ROUND_TRIP_WEIGHT = 0.2;
    /** A report passes up to four edges; one of these round trips is part of the time between two responses. */
    private static final int ROUND_TRIPS_OF_VIEW = 3;

    private static final int ROUND_TRIPS_OF_ROOT_VIEW = 2;
    private static final Duration TIMEOUT = Duration.ofMillis(600);
    private static final Duration CANDIDATE_TIMEOUT = Duration.ofMillis(450);
    private static final long CANDIDATE_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    private final AggregationTree tree;
    private final PeerTransport peers;
    private final FleetMembers members;
    private final InFlightRequests inFlight;
    private final TeamRateLimiter rateLimiter;
    private final ResidencyTable residency;
    private final Placement placement;
    private final TargetCrashTracker crashTracker;
    private final TargetLimits limits;
    private final EntryReplica replica;
    private final ReplicaReader reader;
    private final TimerService timer;
    private final RandomGenerator random;
    private final Map<VmId, TreeEdge> edges = new LinkedHashMap<>();
    private final Map<VmId, Long> skippedSince = new HashMap<>();
    private final Map<TeamId, Long> recordedUnits = new HashMap<>();
    private final Map<VmId, TreeEdge> candidates = new LinkedHashMap<>();
    private Optional<VmId> parent = Optional.empty();
    private Optional<TreeEdge> called = Optional.empty();
    private boolean domainHead;
    private boolean idle;
    private long lastCallNanos;
    private long lastCandidateNanos;
    private double roundTripNanos;

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
     * @param replica the entries that this VM knows
     * @param reader keeps the replica up to date
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
            final EntryReplica replica,
            final ReplicaReader reader,
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
        this.replica = Objects.requireNonNull(replica);
        this.reader = Objects.requireNonNull(reader);
        this.timer = Objects.requireNonNull(timer);
        this.random = Objects.requireNonNull(random);
        members.setViewDelay(this::viewDelay);
        peers.serve(FleetMethods.DIGEST, (from, digest) -> Flowable.fromCallable(() -> serve(from, digest)));
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

    private Duration viewDelay() {
        final double nanos = parent.map(edges::get)
                .map(edge -> timer.nanoTime()
                        - edge.receivedNanos()
                        + DOMAIN_HEAD_CALL_INTERVAL_NANOS
                        + ROUND_TRIPS_OF_VIEW * roundTripNanos)
                .orElse(ROUND_TRIPS_OF_ROOT_VIEW * roundTripNanos);
        return Duration.ofNanos((long) nanos);
    }

    private void step() {
        dropSilentEdges();
        recordLocalChanges();
        chooseParent();
        domainHead = parent.isPresent() && tree.isDomainHead(members.others(), parent.get());
        reader.readsStore(parent.isEmpty() || domainHead);
        parent.map(edges::get).ifPresent(this::callIfDue);
    }

    private void callIfDue(final TreeEdge edge) {
        if (!called.equals(Optional.of(edge)) && timer.nanoTime() - lastCallNanos >= interval()) {
            call(edge);
        }
    }

    /**
     * Returns the delay until the next step. It is short while a digest is in flight, as the parent may have failed.
     */
    private Duration delayUntilNextStep() {
        if (!candidates.isEmpty()) {
            return WAIT_INTERVAL;
        }
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
        if (parentResponds()) {
            skippedSince.values().removeIf(since -> now - since > SKIP_NANOS);
        }
        if (!candidates.isEmpty() && (parentResponds() || now - lastCandidateNanos < CANDIDATE_INTERVAL_NANOS)) {
            return;
        }
        final Optional<VmId> preferred =
                tree.parent(members.others(), vm -> !skippedSince.containsKey(vm) && !candidates.containsKey(vm));
        if (preferred.isEmpty() && candidates.isEmpty()) {
            noVmResponds(now);
        } else if (preferred.isPresent() && !preferred.equals(parent)) {
            callCandidate(preferred.get());
        }
    }

    private boolean parentResponds() {
        return parent.isPresent() && !skippedSince.containsKey(parent.get());
    }

    /** Gives up the parent unless it was heard of recently, and begins anew with all VMs that may become the parent. */
    private void noVmResponds(final long now) {
        final boolean precedesAll = tree.parent(members.others(), vm -> true).isEmpty();
        final boolean silent = parent.map(edges::get)
                .filter(edge -> now - edge.receivedNanos() <= EDGE_TIMEOUT_NANOS)
                .isEmpty();
        if (precedesAll || silent) {
            parent = Optional.empty();
        }
        skippedSince.clear();
    }

    /** Calls a VM that may become the parent. */
    private void callCandidate(final VmId vm) {
        final long callNanos = timer.nanoTime();
        final TreeEdge edge = newEdge(vm);
        candidates.put(vm, edge);
        lastCandidateNanos = callNanos;
        peers.call(vm, FleetMethods.DIGEST, digest(edge), CANDIDATE_TIMEOUT)
                .subscribe(
                        response -> {
                            candidates.remove(vm, edge);
                            skippedSince.remove(vm);
                            candidateResponded(edge, response, callNanos);
                        },
                        error -> {
                            candidates.remove(vm, edge);
                            skippedSince.put(vm, timer.nanoTime());
                        });
    }

    private void candidateResponded(final TreeEdge edge, final Digest response, final long callNanos) {
        if (!isBetterThanParent(edge.other())) {
            leave(edge.other());
            return;
        }
        attach(edge, callNanos);
        receive(edge, response);
        edge.resendAll();
    }

    private boolean isBetterThanParent(final VmId vm) {
        final Optional<VmId> responding = parent.filter(each -> parentResponds());
        return tree.parent(members.others(), each -> each.equals(vm) || responding.equals(Optional.of(each)))
                .equals(Optional.of(vm));
    }

    private void attach(final TreeEdge edge, final long callNanos) {
        dropEdgeTo(edge.other());
        parent.map(edges::get).ifPresent(previous -> {
            previous.unacknowledgedUnits().forEach(edge::admitted);
            dropEdge(previous);
            leave(previous.other());
        });
        edges.put(edge.other(), edge);
        parent = Optional.of(edge.other());
        idle = false;
        lastCallNanos = callNanos;
    }

    /** Tells a VM that this one is not its child any more, by a digest without VMs. */
    private void leave(final VmId vm) {
        peers.call(vm, FleetMethods.DIGEST, Digest.getDefaultInstance(), TIMEOUT)
                .subscribe(response -> {}, error -> {});
    }

    private boolean isParent(final TreeEdge edge) {
        return parent.filter(edge.other()::equals).isPresent();
    }

    private TreeEdge newEdge(final VmId vm) {
        return new TreeEdge(vm, random.nextLong() | 1, timer.nanoTime());
    }

    private void dropEdgeTo(final VmId vm) {
        Optional.ofNullable(edges.get(vm)).ifPresent(this::dropEdge);
    }

    private void dropEdge(final TreeEdge edge) {
        edges.remove(edge.other(), edge);
        removeUsage(edge);
        updateReachable();
    }

    private void removeUsage(final TreeEdge edge) {
        inFlight.removePeer(edge.other()).forEach(target -> usageChanged(target, edge));
    }

    private void call(final TreeEdge edge) {
        called = Optional.of(edge);
        lastCallNanos = timer.nanoTime();
        final boolean unchanged = !edge.hasChanges();
        peers.call(edge.other(), FleetMethods.DIGEST, digest(edge), TIMEOUT)
                .subscribe(
                        response -> {
                            called = called.filter(each -> each != edge);
                            skippedSince.remove(edge.other());
                            roundTripNanos += ROUND_TRIP_WEIGHT * (timer.nanoTime() - lastCallNanos - roundTripNanos);
                            receive(edge, response);
                            idle = unchanged && isEmpty(response);
                        },
                        error -> {
                            called = called.filter(each -> each != edge);
                            edge.resendAll();
                            skippedSince.put(edge.other(), timer.nanoTime());
                        });
    }

    private static boolean isEmpty(final Digest digest) {
        return digest.getUsesCount() == 0
                && digest.getTeamsCount() == 0
                && digest.getHoldingsCount() == 0
                && digest.getLimitsCount() == 0;
    }

    private Digest serve(final VmId from, final Digest received) {
        if (received.getVms() == 0) {
            Optional.ofNullable(edges.get(from)).filter(each -> !isParent(each)).ifPresent(this::dropEdge);
            return Digest.getDefaultInstance();
        }
        final TreeEdge edge = edges.computeIfAbsent(from, this::newEdge);
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
        final long recoveredMillis =
                reader.sinceRecovery().map(since -> since.toMillis() + 1).orElse(0L);
        digest.setVms(1 + count(excluded, false))
                .setReaders((reader.unavailable() ? 0 : 1) + count(excluded, true))
                .setRevision(replica.revision())
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, reader.age().toMillis()))
                .setRegainedMillis(recoveredMillis);
        if (!isParent(edge) && edge.revision() > 0) {
            replica.changesAfter(edge.revision()).forEach(change -> digest.addEntries(DigestCodec.entry(change)));
        }
        edge.addHeader(digest);
        return digest.build();
    }

    /**
     * Returns the VMs whose reports must not be sent over an edge: the VM at its other end, and towards a candidate
     * also the parent.
     */
    private Set<VmId> excludedVms(final TreeEdge edge) {
        final Set<VmId> excluded = new HashSet<>(Set.of(edge.other()));
        if (candidates.containsValue(edge)) {
            parent.ifPresent(excluded::add);
        }
        return excluded;
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
        digest.getBrokenList().forEach(crash -> applyCrash(edge, crash));
        digest.getPartsList().forEach(report -> applyPart(edge, report));
        digest.getLimitsList().forEach(report -> applyLimit(edge, report));
        if (isParent(edge)) {
            reader.applyForwarded(
                    digest.getRevision(),
                    Duration.ofNanos(timer.nanoTime() - lastCallNanos).plusMillis(digest.getAgeMillis()),
                    Duration.ofMillis(digest.getRegainedMillis()),
                    DigestCodec.changes(digest.getEntriesList()));
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
            recordUnits(edgesExcept(edge), team, added);
        }
    }

    private void applyResidency(final TreeEdge edge, final Holding holding) {
        final TargetId target = new TargetId(holding.getTarget());
        if (residency.recordReport(target, DigestCodec.residency(holding))) {
            edgesExcept(edge).forEach(each -> each.residencyChanged(target));
        }
    }

    private void applyCrash(final TreeEdge edge, final BrokenRuns crash) {
        if (crashTracker.recordReport(crash)) {
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
        rateLimiter.totals().forEach((team, total) -> {
            final Long previous = recordedUnits.put(team, total);
            final long added = total - (previous == null ? 0 : previous);
            if (added != 0) {
                recordUnits(edges.values(), team, added);
            }
        });
        for (final TreeEdge edge : edges.values()) {
            changedUsage.forEach(edge::usageChanged);
            changedResidency.forEach(edge::residencyChanged);
            crashes.forEach(edge::crashed);
            changedParts.forEach(edge::partChanged);
            changedLimits.forEach(edge::limitChanged);
        }
    }

    private void recordUnits(final Collection<TreeEdge> receivers, final TeamId team, final long added) {
        receivers.forEach(edge -> edge.admitted(team, added));
        if (parent.isEmpty()) {
            candidates.values().forEach(edge -> edge.admitted(team, added));
        }
    }

    /** Drops the edges that are silent. The edge to the parent is kept for what it has not reported yet. */
    private void dropSilentEdges() {
        final long now = timer.nanoTime();
        for (final TreeEdge edge : List.copyOf(edges.values())) {
            if (now - edge.receivedNanos() <= EDGE_TIMEOUT_NANOS) {
                continue;
            }
            if (!isParent(edge)) {
                dropEdge(edge);
            } else if (edge.vms() > 0) {
                edge.forgetReceived();
                removeUsage(edge);
                updateReachable();
            }
        }
    }

    private void updateReachable() {
        members.setReachable(1 + count(Set.of(), false), count(Set.of(), true));
    }
}
