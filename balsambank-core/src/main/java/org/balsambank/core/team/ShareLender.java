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
 * Lends shares of the rates of the teams whose partitions this VM owns.
 *
 * <p>Confined to the decision loop. Invariant: a share is sent only while this VM holds the epoch of the partition. The
 * accounts of a lost partition are kept only so that they can be handed over.
 */
public final class ShareLender implements Disposable, HandOverParticipant {
    private static final long FIRST_EPOCH = 1;
    private static final String NAME = "team-rates";
    private static final String UNREADABLE_STATES = "balsambank.share.handover.unreadable";
    private static final String REPORTS = "balsambank.share.asks.answered";

    private final VmId self;
    private final CatalogueSource catalogue;
    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timers;
    private final RateSettings settings;
    private final InvariantMonitor invariants;
    private final MeterRegistry registry;
    private final Map<PartitionId, PartitionAccounts> ownedAccounts = new HashMap<>();
    private final Map<PartitionId, PartitionAccounts> lostAccounts = new HashMap<>();
    private final Map<PartitionId, PartitionAccounts> receivedAccounts = new HashMap<>();
    private final CompositeDisposable work = new CompositeDisposable();

    /**
     * Creates a lender that does not serve calls yet.
     *
     * @param self this VM
     * @param catalogue the source of the rate limits
     * @param ownership the partitions that this VM owns
     * @param peers the connections to the other VMs
     * @param timers the clock and timers
     * @param settings the periods and timeouts of share lending
     * @param invariants checks the accounts
     * @param registry the registry of the counters
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

    /** Starts to serve share reports from borrowers. */
    public void start() {
        work.add(ownership.changes().subscribe(this::onOwnershipChange));
        peers.serve(TeamMethods.REPORT, this::handleReport);
    }

    private void onOwnershipChange(final OwnershipChange change) {
        if (change.kind() == OwnershipChange.Kind.GAINED) {
            lostAccounts.remove(change.partition());
            final PartitionAccounts handedOver = receivedAccounts.remove(change.partition());
            ownedAccounts.put(
                    change.partition(),
                    handedOver != null && handedOver.epoch().equals(change.epoch())
                            ? handedOver
                            : new PartitionAccounts(change.epoch(), timers.nanoTime()));
        } else {
            final PartitionAccounts accounts = ownedAccounts.remove(change.partition());
            if (accounts != null) {
                lostAccounts.put(change.partition(), accounts);
            }
        }
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public ByteString exportState(final PartitionId partition) {
        final PartitionAccounts held = ownedAccounts.remove(partition);
        final PartitionAccounts accounts = held == null ? lostAccounts.remove(partition) : held;
        if (accounts == null) {
            return ByteString.EMPTY;
        }
        lostAccounts.put(partition, accounts);
        final long now = timers.nanoTime();
        final AccountsState.Builder state = AccountsState.newBuilder()
                .setComplete(accounts.complete())
                .setAgeNanos(Math.max(0, now - accounts.sinceNanos()));
        accounts.byTeam().values().forEach(account -> state.addAccounts(account.state(now)));
        return state.build().toByteString();
    }

    @Override
    public void importState(final PartitionId partition, final Epoch epoch, final ByteString state) {
        if (state.isEmpty()) {
            return;
        }
        try {
            receivedAccounts.put(partition, accounts(epoch, AccountsState.parseFrom(state)));
        } catch (final InvalidProtocolBufferException e) {
            registry.counter(UNREADABLE_STATES).increment();
        }
    }

    private PartitionAccounts accounts(final Epoch epoch, final AccountsState state) {
        final long now = timers.nanoTime();
        final PartitionAccounts accounts =
                new PartitionAccounts(epoch, now - state.getAgeNanos(), state.getComplete(), new HashMap<>());
        state.getAccountsList().forEach(account -> accounts.byTeam()
                .put(new TeamId(account.getTeam()), new TeamRateAccount(self, account, settings, now, invariants)));
        return accounts;
    }

    private Flowable<ShareAnswer> handleReport(final VmId from, final ShareAsk message) {
        final TeamId team = new TeamId(message.getTeam());
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
        registry.counter(REPORTS).increment();
        final long now = timers.nanoTime();
        return account(accounts(partition, epoch.get(), now), team, limit.get(), now)
                .handleReport(new BorrowerId(from, message.getBoot()), ShareMessages.decodeReport(message), now)
                .map(grant -> Flowable.just(ShareMessages.encodeGrant(epoch.get(), grant)))
                .orElseGet(() -> refuse(ErrorKind.NO_OWNER, "a later ask was answered"));
    }

    private PartitionAccounts accounts(final PartitionId partition, final Epoch epoch, final long now) {
        final PartitionAccounts known = ownedAccounts.get(partition);
        if (known != null && known.epoch().equals(epoch)) {
            return known;
        }
        final PartitionAccounts accounts = new PartitionAccounts(epoch, now);
        ownedAccounts.put(partition, accounts);
        return accounts;
    }

    private TeamRateAccount account(
            final PartitionAccounts accounts, final TeamId team, final RateLimit limit, final long now) {
        final TeamRateAccount account = accounts.byTeam()
                .computeIfAbsent(
                        team,
                        id -> new TeamRateAccount(
                                self,
                                id.value(),
                                limit,
                                settings,
                                accounts.sinceNanos(),
                                accounts.complete(),
                                invariants));
        if (!account.limit().equals(limit)) {
            account.replaceLimit(limit, now);
        }
        return account;
    }

    private static Flowable<ShareAnswer> refuse(final ErrorKind kind, final String message) {
        return Flowable.error(new BalsambankException(kind, message));
    }

    @Override
    public void dispose() {
        work.dispose();
        ownedAccounts.clear();
    }

    @Override
    public boolean isDisposed() {
        return work.isDisposed();
    }

    /**
     * The accounts of the teams of one partition in one epoch. Confined to the decision loop. They are complete if
     * every outstanding share is in one of them.
     */
    private record PartitionAccounts(
            Epoch epoch, long sinceNanos, boolean complete, Map<TeamId, TeamRateAccount> byTeam) {
        PartitionAccounts(final Epoch epoch, final long sinceNanos) {
            this(epoch, sinceNanos, epoch.value() <= FIRST_EPOCH, new HashMap<>());
        }
    }
}
