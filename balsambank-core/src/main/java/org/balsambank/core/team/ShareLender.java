package org.balsambank.core.team;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.HandOverParticipant;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.partition.OwnershipChange;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.team.AccountsState;
import org.balsambank.protocol.generated.team.ShareAnswer;
import org.balsambank.protocol.generated.team.ShareAsk;

/**
 * Lends shares of the rates of those teams whose partitions this VM owns.
 *
 * <p>Confined to the decision loop. Invariant: a share is sent only while this VM holds the epoch of the partition. The
 * accounts of a lost partition are kept only until they are handed over.
 */
public final class ShareLender implements Disposable, HandOverParticipant {
    private static final long FIRST_EPOCH = 1;
    private static final String NAME = "team-rates";
    private static final String UNREADABLE = "balsambank.share.handover.unreadable";
    private static final String ASKS = "balsambank.share.asks.answered";

    private final VmId self;
    private final CatalogueSource catalogue;
    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timers;
    private final RateSettings settings;
    private final InvariantMonitor invariants;
    private final MeterRegistry registry;
    private final Map<PartitionId, Tenure> tenures = new HashMap<>();
    private final Map<PartitionId, Tenure> lost = new HashMap<>();
    private final Map<PartitionId, Tenure> received = new HashMap<>();
    private final CompositeDisposable work = new CompositeDisposable();

    /**
     * Creates an owner.
     *
     * @param self this VM
     * @param catalogue gives the limits
     * @param ownership tells which partitions are held
     * @param peers the links to the other VMs
     * @param timers give the time
     * @param settings the times of lending
     * @param invariants watch the accounts
     * @param registry counts asks
     */
    public ShareLender(
            final VmId self,
            final CatalogueSource catalogue,
            final Ownership ownership,
            final PeerTransport peers,
            final TimerService timers,
            final RateSettings settings,
            final InvariantMonitor invariants,
            final MeterRegistry registry) {
        this.self = Objects.requireNonNull(self);
        this.catalogue = Objects.requireNonNull(catalogue);
        this.ownership = Objects.requireNonNull(ownership);
        this.peers = Objects.requireNonNull(peers);
        this.timers = Objects.requireNonNull(timers);
        this.settings = Objects.requireNonNull(settings);
        this.invariants = Objects.requireNonNull(invariants);
        this.registry = Objects.requireNonNull(registry);
    }

    /** Starts to answer asks. */
    public void start() {
        work.add(ownership.changes().subscribe(this::changed));
        peers.serve(TeamMethods.REPORT, this::answer);
    }

    private void changed(final OwnershipChange change) {
        if (change.kind() == OwnershipChange.Kind.GAINED) {
            lost.remove(change.partition());
            final Tenure handedOver = received.remove(change.partition());
            tenures.put(
                    change.partition(),
                    handedOver != null && handedOver.epoch().equals(change.epoch())
                            ? handedOver
                            : new Tenure(change.epoch(), timers.nanoTime()));
        } else {
            final Tenure tenure = tenures.remove(change.partition());
            if (tenure != null) {
                lost.put(change.partition(), tenure);
            }
        }
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public ByteString exportState(final PartitionId partition) {
        final Tenure held = tenures.remove(partition);
        final Tenure tenure = held == null ? lost.remove(partition) : held;
        if (tenure == null) {
            return ByteString.EMPTY;
        }
        lost.put(partition, tenure);
        final long now = timers.nanoTime();
        final AccountsState.Builder state = AccountsState.newBuilder()
                .setComplete(tenure.complete())
                .setAgeNanos(Math.max(0, now - tenure.sinceNanos()));
        tenure.books().values().forEach(book -> state.addAccounts(book.state(now)));
        return state.build().toByteString();
    }

    @Override
    public void importState(final PartitionId partition, final Epoch epoch, final ByteString state) {
        if (state.isEmpty()) {
            return;
        }
        try {
            received.put(partition, tenure(epoch, AccountsState.parseFrom(state)));
        } catch (final InvalidProtocolBufferException e) {
            registry.counter(UNREADABLE).increment();
        }
    }

    private Tenure tenure(final Epoch epoch, final AccountsState state) {
        final long now = timers.nanoTime();
        final Tenure tenure = new Tenure(epoch, now - state.getAgeNanos(), state.getComplete(), new HashMap<>());
        state.getAccountsList().forEach(account -> tenure.books()
                .put(new TeamId(account.getTeam()), new TeamRateAccount(self, account, settings, now, invariants)));
        return tenure;
    }

    private Flowable<ShareAnswer> answer(final VmId from, final ShareAsk ask) {
        final TeamId team = new TeamId(ask.getTeam());
        final PartitionId partition = ownership.partitionOf(SubjectKind.TEAM, team.value());
        final Optional<Epoch> epoch = ownership.heldEpoch(partition);
        if (epoch.isEmpty()) {
            return refuse(ErrorKind.NO_OWNER, "this VM does not own the team's rate");
        }
        final Optional<RateLimit> limit =
                Optional.ofNullable(catalogue.current().teams().get(team)).map(Team::limit);
        if (limit.isEmpty()) {
            return refuse(ErrorKind.FORBIDDEN, "the team is not in the catalogue");
        }
        registry.counter(ASKS).increment();
        final long now = timers.nanoTime();
        return book(tenure(partition, epoch.get(), now), team, limit.get(), now)
                .ask(new BorrowerId(from, ask.getBoot()), ShareMessages.report(ask), now)
                .map(grant -> Flowable.just(ShareMessages.answer(epoch.get(), grant)))
                .orElseGet(() -> refuse(ErrorKind.NO_OWNER, "a later ask was answered"));
    }

    private Tenure tenure(final PartitionId partition, final Epoch epoch, final long now) {
        final Tenure known = tenures.get(partition);
        if (known != null && known.epoch().equals(epoch)) {
            return known;
        }
        final Tenure tenure = new Tenure(epoch, now);
        tenures.put(partition, tenure);
        return tenure;
    }

    private TeamRateAccount book(final Tenure tenure, final TeamId team, final RateLimit limit, final long now) {
        final TeamRateAccount book = tenure.books()
                .computeIfAbsent(
                        team,
                        id -> new TeamRateAccount(
                                self, id.value(), limit, settings, tenure.sinceNanos(), tenure.complete(), invariants));
        if (!book.limit().equals(limit)) {
            book.replaceLimit(limit, now);
        }
        return book;
    }

    private static Flowable<ShareAnswer> refuse(final ErrorKind kind, final String message) {
        return Flowable.error(new BalsambankException(kind, message));
    }

    @Override
    public void dispose() {
        work.dispose();
        tenures.clear();
    }

    @Override
    public boolean isDisposed() {
        return work.isDisposed();
    }

    /**
     * The time as the owner of a partition, with the accounts of its teams. Confined to the decision loop. It is
     * complete if no share can be out that is in none of the accounts.
     */
    private record Tenure(Epoch epoch, long sinceNanos, boolean complete, Map<TeamId, TeamRateAccount> books) {
        Tenure(final Epoch epoch, final long sinceNanos) {
            this(epoch, sinceNanos, epoch.value() <= FIRST_EPOCH, new HashMap<>());
        }
    }
}
