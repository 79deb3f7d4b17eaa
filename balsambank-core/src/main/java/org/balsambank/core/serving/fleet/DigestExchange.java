package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerLink;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.serving.admission.TeamBuckets;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.HeldAdapters;
import org.balsambank.core.serving.placement.HoldingBook;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.replica.EntryReplica;
import org.balsambank.core.serving.target.FlightBook;
import org.balsambank.core.supervise.Part;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.Digest;
import org.balsambank.protocol.generated.serving.DigestAnswer;
import org.balsambank.protocol.generated.serving.HeldAdapter;
import org.balsambank.protocol.generated.serving.Holding;
import org.balsambank.protocol.generated.serving.TargetUse;
import org.balsambank.protocol.generated.serving.TeamUse;

/**
 * Tells the other VMs some times a second what has changed here, and takes in what they tell.
 *
 * <p>Invariant: what is known of another VM is a state that it had; a VM that misses a digest asks for a full one.
 * Confined to the decision loop.
 */
public final class DigestExchange implements Part {
    private static final Duration EVERY = Duration.ofMillis(150);
    private static final Duration QUIET = Duration.ofMillis(450);
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final long boot;
    private final PeerLink peers;
    private final FleetMembers members;
    private final FlightBook flights;
    private final TeamBuckets buckets;
    private final HoldingBook holdings;
    private final Placement placement;
    private final LossBook losses;
    private final EntryReplica replica;
    private final BooleanSupplier storeLost;
    private final TimerService timer;
    private final Map<VmId, Peer> sent = new HashMap<>();
    private final Map<VmId, Received> received = new HashMap<>();
    private final Map<TeamId, Long> toldTeams = new HashMap<>();
    private long lastNanos;

    /**
     * Creates an exchange.
     *
     * @param boot tells runs of this process apart
     * @param peers the links to the other VMs
     * @param members the other VMs
     * @param flights what is under way
     * @param buckets what teams have used
     * @param holdings what targets hold
     * @param placement the targets to which this VM gives orders
     * @param losses requests that have cost targets
     * @param replica the entries that this VM knows
     * @param storeLost tells whether this VM can't read the key-value service
     * @param timer gives the time
     */
    public DigestExchange(
            final long boot,
            final PeerLink peers,
            final FleetMembers members,
            final FlightBook flights,
            final TeamBuckets buckets,
            final HoldingBook holdings,
            final Placement placement,
            final LossBook losses,
            final EntryReplica replica,
            final BooleanSupplier storeLost,
            final TimerService timer) {
        this.boot = boot;
        this.peers = Objects.requireNonNull(peers);
        this.members = Objects.requireNonNull(members);
        this.flights = Objects.requireNonNull(flights);
        this.buckets = Objects.requireNonNull(buckets);
        this.holdings = Objects.requireNonNull(holdings);
        this.placement = Objects.requireNonNull(placement);
        this.losses = Objects.requireNonNull(losses);
        this.replica = Objects.requireNonNull(replica);
        this.storeLost = Objects.requireNonNull(storeLost);
        this.timer = Objects.requireNonNull(timer);
        peers.serve(FleetMethods.DIGEST, (from, digest) -> Flowable.fromCallable(() -> take(from, digest)));
    }

    @Override
    public String name() {
        return "digests";
    }

    @Override
    public Completable run() {
        return timer.every(EVERY).doOnNext(tick -> tell()).ignoreElements();
    }

    private void tell() {
        forgetSilent();
        final Collection<VmEntry> others = members.others();
        sent.keySet().retainAll(others.stream().map(VmEntry::id).collect(Collectors.toSet()));
        final Digest changes = changes();
        final boolean empty = changes.getUsesCount() == 0
                && changes.getTeamsCount() == 0
                && changes.getHoldingsCount() == 0
                && changes.getBrokenCount() == 0;
        final boolean quiet = empty && timer.nanoTime() - lastNanos < QUIET.toNanos();
        if (!quiet) {
            lastNanos = timer.nanoTime();
        }
        Digest all = null;
        for (final VmEntry other : others) {
            final Peer peer = sent.computeIfAbsent(other.id(), ignored -> new Peer());
            if (peer.synced) {
                if (!quiet) {
                    send(other.id(), peer, changes);
                }
            } else if (!peer.waiting) {
                all = all == null ? all() : all;
                peer.synced = true;
                send(other.id(), peer, all);
            }
        }
    }

    private void send(final VmId vm, final Peer peer, final Digest content) {
        final Digest digest = content.toBuilder()
                .setBoot(boot)
                .setNumber(++peer.number)
                .setRevision(replica.revision())
                .setStoreLost(storeLost.getAsBoolean())
                .build();
        peer.waiting = true;
        peers.call(vm, FleetMethods.DIGEST, digest, TIMEOUT)
                .subscribe(
                        answer -> {
                            peer.waiting = false;
                            peer.synced &= !answer.getNeedFull();
                        },
                        error -> {
                            peer.waiting = false;
                            peer.synced = false;
                        });
    }

    private Digest changes() {
        final Digest.Builder digest = Digest.newBuilder();
        flights.takeChanged().forEach(target -> digest.addUses(use(target)));
        buckets.totals().forEach((team, units) -> {
            if (!units.equals(toldTeams.put(team, units))) {
                digest.addTeams(team(team, units));
            }
        });
        placement.takeChanged().forEach((target, held) -> digest.addHoldings(holding(target, held)));
        losses.takeUntold().forEach(digest::addBroken);
        return digest.build();
    }

    private Digest all() {
        final Digest.Builder digest = Digest.newBuilder().setFull(true);
        flights.busy().forEach(target -> digest.addUses(use(target)));
        buckets.totals().forEach((team, units) -> digest.addTeams(team(team, units)));
        placement.held().forEach((target, held) -> digest.addHoldings(holding(target, held)));
        return digest.build();
    }

    private TargetUse use(final TargetId target) {
        final FlightBook.Use use = flights.own(target);
        return TargetUse.newBuilder()
                .setTarget(target.value())
                .setRequests(use.requests())
                .setTokensAhead((int) use.tokensAhead())
                .addAllAdapters(
                        use.adapters().stream().map(AdapterKey::toString).toList())
                .build();
    }

    private static TeamUse team(final TeamId team, final long units) {
        return TeamUse.newBuilder().setTeam(team.value()).setUnits(units).build();
    }

    private static Holding holding(final TargetId target, final HeldAdapters held) {
        final Holding.Builder holding =
                Holding.newBuilder().setTarget(target.value()).setFence(held.fence());
        held.models().forEach(model -> holding.addModels(model.value()));
        held.adapters()
                .forEach((adapter, version) -> holding.addAdapters(
                        HeldAdapter.newBuilder().setAdapter(adapter.toString()).setVersion(version)));
        held.pending()
                .forEach(adapter -> holding.addAdapters(
                        HeldAdapter.newBuilder().setAdapter(adapter.toString()).setPending(true)));
        return holding.build();
    }

    private DigestAnswer take(final VmId from, final Digest digest) {
        members.heardFrom(from);
        members.storeOf(from, digest.getStoreLost());
        final Received known = received.computeIfAbsent(from, ignored -> new Received());
        if (known.boot != digest.getBoot()) {
            buckets.forget(from);
            flights.forget(from);
            known.boot = digest.getBoot();
            known.number = 0;
        }
        if (digest.getFull()) {
            flights.forget(from);
        } else if (digest.getNumber() != known.number + 1) {
            return DigestAnswer.newBuilder().setNeedFull(true).build();
        }
        known.number = digest.getNumber();
        digest.getUsesList().forEach(use -> takeUse(from, use));
        digest.getTeamsList().forEach(use -> buckets.peer(from, new TeamId(use.getTeam()), use.getUnits()));
        digest.getHoldingsList().forEach(this::takeHolding);
        digest.getBrokenList().forEach(losses::told);
        return DigestAnswer.getDefaultInstance();
    }

    private void takeUse(final VmId from, final TargetUse use) {
        final Set<AdapterKey> adapters =
                use.getAdaptersList().stream().map(AdapterKey::parse).collect(Collectors.toSet());
        flights.peer(
                from,
                new TargetId(use.getTarget()),
                new FlightBook.Use(use.getRequests(), use.getTokensAhead(), adapters));
    }

    private void takeHolding(final Holding holding) {
        final Map<AdapterKey, Long> adapters = new HashMap<>();
        final Set<AdapterKey> pending = new HashSet<>();
        for (final HeldAdapter each : holding.getAdaptersList()) {
            final AdapterKey adapter = AdapterKey.parse(each.getAdapter());
            if (each.getPending()) {
                pending.add(adapter);
            } else {
                adapters.put(adapter, each.getVersion());
            }
        }
        final Set<BaseModel> models =
                holding.getModelsList().stream().map(BaseModel::new).collect(Collectors.toSet());
        holdings.told(
                new TargetId(holding.getTarget()), new HeldAdapters(holding.getFence(), adapters, pending, models));
    }

    private void forgetSilent() {
        for (final VmId vm : List.copyOf(received.keySet())) {
            if (!members.recent(vm)) {
                flights.forget(vm);
                buckets.forget(vm);
                received.get(vm).number = 0;
            }
        }
    }

    /** What another VM has been sent. */
    private static final class Peer {
        private long number;
        private boolean synced;
        private boolean waiting;
    }

    /** What another VM has told last. */
    private static final class Received {
        private long boot;
        private long number;
    }
}
