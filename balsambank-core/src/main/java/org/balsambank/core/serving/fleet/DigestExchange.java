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
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.BrokenRuns;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.Holding;
import org.balsambank.protocol.generated.serving.TargetUse;
import org.balsambank.protocol.generated.serving.TeamUse;

/**
 * Tells the fleet what has changed here, and hears what has changed elsewhere, along the {@link AggregationTree}.
 *
 * <p>A VM calls its parent some times a second with what has changed on its side of the edge; the answer holds what has
 * changed on the other side. So a VM sends and takes as many messages in a large fleet as in a small one. A parent that
 * does not answer is passed over for a while; what it has told counts until the next one answers.
 *
 * <p>Invariant: what passes over an edge never leads back what came over it. Confined to the decision loop.
 */
public final class DigestExchange implements Component {
    private static final Duration ROOT_STEP = Duration.ofMillis(100);
    private static final Duration WAITING_STEP = Duration.ofMillis(25);
    private static final long MEMBER_NANOS = Duration.ofMillis(100).toNanos();
    private static final long HEAD_NANOS = Duration.ofMillis(50).toNanos();
    private static final long QUIET_NANOS = Duration.ofMillis(125).toNanos();
    private static final long SILENT_NANOS = Duration.ofMillis(900).toNanos();
    private static final long PASSED_OVER_NANOS = Duration.ofMillis(1_000).toNanos();
    private static final Duration TIMEOUT = Duration.ofMillis(450);

    private final AggregationTree tree;
    private final PeerTransport peers;
    private final FleetMembers members;
    private final InFlightRequests flights;
    private final TeamRateLimiter buckets;
    private final ResidencyTable holdings;
    private final Placement placement;
    private final TargetCrashTracker losses;
    private final EntryReplica replica;
    private final ReplicaReader reader;
    private final TimerService timer;
    private final RandomGenerator random;
    private final Map<VmId, TreeEdge> edges = new LinkedHashMap<>();
    private final Map<VmId, Long> passedOver = new HashMap<>();
    private final Map<TeamId, Long> collectedUnits = new HashMap<>();
    private Optional<VmId> parent = Optional.empty();
    private Optional<VmId> formerParent = Optional.empty();
    private boolean speaksForDomain;
    private boolean calling;
    private boolean quiet;
    private long calledNanos;

    /**
     * Creates an exchange and answers the other VMs.
     *
     * @param tree the place of this VM in the fleet
     * @param peers the links to the other VMs
     * @param members the other VMs
     * @param flights what is under way
     * @param buckets what teams have used
     * @param holdings what targets hold
     * @param placement the targets to which this VM gives orders
     * @param losses requests that have cost targets
     * @param replica the entries that this VM knows
     * @param reader reads the key-value service
     * @param timer gives the time
     * @param random names sessions
     */
    public DigestExchange(
            final AggregationTree tree,
            final PeerTransport peers,
            final FleetMembers members,
            final InFlightRequests flights,
            final TeamRateLimiter buckets,
            final ResidencyTable holdings,
            final Placement placement,
            final TargetCrashTracker losses,
            final EntryReplica replica,
            final ReplicaReader reader,
            final TimerService timer,
            final RandomGenerator random) {
        this.tree = Objects.requireNonNull(tree);
        this.peers = Objects.requireNonNull(peers);
        this.members = Objects.requireNonNull(members);
        this.flights = Objects.requireNonNull(flights);
        this.buckets = Objects.requireNonNull(buckets);
        this.holdings = Objects.requireNonNull(holdings);
        this.placement = Objects.requireNonNull(placement);
        this.losses = Objects.requireNonNull(losses);
        this.replica = Objects.requireNonNull(replica);
        this.reader = Objects.requireNonNull(reader);
        this.timer = Objects.requireNonNull(timer);
        this.random = Objects.requireNonNull(random);
        peers.serve(FleetMethods.DIGEST, (from, digest) -> Flowable.fromCallable(() -> answer(from, digest)));
    }

    @Override
    public String name() {
        return "digests";
    }

    @Override
    public Completable run() {
        return Completable.defer(() -> {
                    step();
                    return timer.after(untilDue());
                })
                .repeat();
    }

    private void step() {
        forgetSilent();
        collect();
        chooseParent();
        speaksForDomain = parent.isPresent() && tree.speaksForDomain(members.others(), parent.get());
        reader.readsItself(parent.isEmpty() || speaksForDomain);
        if (parent.isPresent() && !calling && timer.nanoTime() - calledNanos >= interval()) {
            call(edges.get(parent.get()));
        }
    }

    /** Returns the time until a digest is due; while one is under way, soon again, as a parent may have failed. */
    private Duration untilDue() {
        if (parent.isEmpty()) {
            return ROOT_STEP;
        }
        final long due = calledNanos + interval() - timer.nanoTime();
        return due <= 0 ? WAITING_STEP : Duration.ofNanos(due);
    }

    private long interval() {
        if (speaksForDomain) {
            return HEAD_NANOS;
        }
        return quiet && !edges.get(parent.get()).pending() ? QUIET_NANOS : MEMBER_NANOS;
    }

    private void chooseParent() {
        final long now = timer.nanoTime();
        passedOver.values().removeIf(since -> now - since > PASSED_OVER_NANOS);
        final Optional<VmId> wanted = tree.parent(members.others(), vm -> !passedOver.containsKey(vm));
        if (calling || wanted.equals(parent)) {
            return;
        }
        final Optional<TreeEdge> left = parent.map(edges::get);
        final Optional<VmId> answeredLast = left.filter(TreeEdge::answered).isPresent() ? parent : formerParent;
        left.filter(edge -> !edge.answered()).ifPresent(this::drop);
        formerParent.filter(vm -> !answeredLast.equals(formerParent)).ifPresent(vm -> dropVm(vm));
        formerParent = answeredLast.filter(vm -> !wanted.equals(Optional.of(vm)));
        parent = wanted;
        wanted.ifPresent(vm -> {
            dropVm(vm);
            final TreeEdge edge = open(vm);
            left.ifPresent(before -> before.unconfirmedUnits().forEach(edge::admitted));
        });
        quiet = false;
        calledNanos = now - MEMBER_NANOS;
    }

    private boolean isParent(final TreeEdge edge) {
        return parent.filter(edge.other()::equals).isPresent();
    }

    private TreeEdge open(final VmId vm) {
        final TreeEdge edge = new TreeEdge(vm, random.nextLong() | 1, timer.nanoTime());
        edges.put(vm, edge);
        return edge;
    }

    private void dropVm(final VmId vm) {
        Optional.ofNullable(edges.get(vm)).ifPresent(this::drop);
    }

    private void drop(final TreeEdge edge) {
        edges.remove(edge.other(), edge);
        forgetUses(edge);
        if (formerParent.equals(Optional.of(edge.other()))) {
            formerParent = Optional.empty();
        }
        heard();
    }

    private void forgetUses(final TreeEdge edge) {
        flights.forget(edge.other()).forEach(target -> useChanged(target, edge));
    }

    private void call(final TreeEdge edge) {
        calling = true;
        calledNanos = timer.nanoTime();
        final boolean silent = !edge.pending();
        peers.call(edge.other(), FleetMethods.DIGEST, digest(edge), TIMEOUT)
                .subscribe(
                        answer -> {
                            calling = false;
                            take(edge, answer);
                            quiet = silent && empty(answer);
                            formerParent.ifPresent(this::dropVm);
                        },
                        error -> {
                            calling = false;
                            edge.lost();
                            passedOver.put(edge.other(), timer.nanoTime());
                        });
    }

    private static boolean empty(final Digest digest) {
        return digest.getUsesCount() == 0 && digest.getTeamsCount() == 0 && digest.getHoldingsCount() == 0;
    }

    private Digest answer(final VmId from, final Digest asked) {
        TreeEdge edge = edges.get(from);
        if (edge == null) {
            edge = open(from);
        }
        collect();
        take(edge, asked);
        return digest(edge);
    }

    /** Writes what an edge has not been told yet. */
    private Digest digest(final TreeEdge edge) {
        final Digest.Builder digest = Digest.newBuilder();
        final boolean full = edge.full();
        final Set<VmId> elsewhere = notOnThisSide(edge);
        final Set<TargetId> changedUses = edge.takeUses();
        for (final TargetId target : full ? flights.known() : changedUses) {
            final InFlightRequests.Usage use = flights.totalExcluding(target, elsewhere);
            digest.addUses(DigestCodec.use(target, use, edge.sameAdapters(target, use.adapters())));
        }
        edge.takeUnits()
                .forEach((team, units) -> digest.addTeams(
                        TeamUse.newBuilder().setTeam(team.value()).setUnits(units)));
        final Set<TargetId> changedHoldings = edge.takeHoldings();
        for (final TargetId target : full ? holdings.targets() : changedHoldings) {
            holdings.find(target).ifPresent(held -> digest.addHoldings(DigestCodec.holding(target, held)));
        }
        digest.addAllBroken(edge.takeBroken());
        final long regained =
                reader.sinceRegained().map(since -> since.toMillis() + 1).orElse(0L);
        digest.setVms(1 + count(elsewhere, false))
                .setReaders((reader.lost() ? 0 : 1) + count(elsewhere, true))
                .setRevision(replica.revision())
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, reader.age().toMillis()))
                .setRegainedMillis(regained);
        if (!isParent(edge) && edge.revision() > 0) {
            replica.changesAfter(edge.revision()).forEach(change -> digest.addEntries(DigestCodec.entry(change)));
        }
        edge.stamp(digest);
        return digest.build();
    }

    /** Returns whose contributions an edge must not be told: its own, and towards a parent those of both parents. */
    private Set<VmId> notOnThisSide(final TreeEdge edge) {
        final boolean up = isParent(edge);
        return up && formerParent.isPresent() ? Set.of(edge.other(), formerParent.get()) : Set.of(edge.other());
    }

    private int count(final Set<VmId> elsewhere, final boolean readers) {
        int sum = 0;
        for (final TreeEdge each : edges.values()) {
            if (!elsewhere.contains(each.other())) {
                sum += readers ? each.readers() : each.vms();
            }
        }
        return sum;
    }

    private void take(final TreeEdge edge, final Digest digest) {
        final boolean usable = edge.heard(digest, timer.nanoTime());
        heard();
        if (!usable || edges.get(edge.other()) != edge) {
            return;
        }
        if (digest.getFull()) {
            forgetUses(edge);
        }
        digest.getUsesList().forEach(use -> takeUse(edge, use));
        digest.getTeamsList().forEach(use -> takeUnits(edge, use));
        digest.getHoldingsList().forEach(holding -> takeHolding(edge, holding));
        digest.getBrokenList().forEach(loss -> takeBroken(edge, loss));
        if (isParent(edge)) {
            reader.told(
                    digest.getRevision(),
                    Duration.ofNanos(timer.nanoTime() - calledNanos).plusMillis(digest.getAgeMillis()),
                    Duration.ofMillis(digest.getRegainedMillis()),
                    DigestCodec.changes(digest.getEntriesList()));
        }
    }

    private void takeUse(final TreeEdge edge, final TargetUse use) {
        final TargetId target = new TargetId(use.getTarget());
        final InFlightRequests.Usage before = flights.peerUsage(edge.other(), target);
        flights.peerUsage(edge.other(), target, DigestCodec.use(use, before.adapters()));
        useChanged(target, edge);
    }

    private void takeUnits(final TreeEdge edge, final TeamUse use) {
        final TeamId team = new TeamId(use.getTeam());
        final long added = edge.newUnits(team, use.getUnits());
        if (added != 0) {
            buckets.admittedElsewhere(team, added);
            othersThan(edge).forEach(each -> each.admitted(team, added));
        }
    }

    private void takeHolding(final TreeEdge edge, final Holding holding) {
        final TargetId target = new TargetId(holding.getTarget());
        if (holdings.told(target, DigestCodec.holding(holding))) {
            othersThan(edge).forEach(each -> each.holdingChanged(target));
        }
    }

    private void takeBroken(final TreeEdge edge, final BrokenRuns loss) {
        if (losses.told(loss)) {
            othersThan(edge).forEach(each -> each.broke(loss));
        }
    }

    private void useChanged(final TargetId target, final TreeEdge source) {
        othersThan(source).forEach(each -> each.useChanged(target));
    }

    private List<TreeEdge> othersThan(final TreeEdge source) {
        return edges.values().stream().filter(each -> each != source).toList();
    }

    /** Notes for all edges what has changed at this VM itself. */
    private void collect() {
        final Set<TargetId> uses = flights.takeChanged();
        final Set<TargetId> held = placement.takeChanged();
        final List<BrokenRuns> broken = losses.takeUntold();
        buckets.totals().forEach((team, sum) -> {
            final Long before = collectedUnits.put(team, sum);
            final long added = sum - (before == null ? 0 : before);
            if (added != 0) {
                edges.values().forEach(edge -> edge.admitted(team, added));
            }
        });
        for (final TreeEdge edge : edges.values()) {
            uses.forEach(edge::useChanged);
            held.forEach(edge::holdingChanged);
            broken.forEach(edge::broke);
        }
    }

    private void forgetSilent() {
        final long now = timer.nanoTime();
        for (final TreeEdge edge : List.copyOf(edges.values())) {
            if (now - edge.heardNanos() > SILENT_NANOS && !isParent(edge)) {
                drop(edge);
            }
        }
    }

    private void heard() {
        members.heard(1 + count(Set.of(), false), count(Set.of(), true));
    }
}
