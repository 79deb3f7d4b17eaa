package org.balsambank.core.team;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;

/**
 * Admits requests against shares that this VM borrows from the owners of the teams' rates.
 *
 * <p>Confined to the decision loop. A request that the local share covers costs no call to the owner. Over any window,
 * the units that all VMs admit for a team minus the units that they return are at most rate x time + burst.
 */
public final class LendingRateGate implements RateGate, Disposable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final String REPORTS = "balsambank.share.asks.sent";

    private final CatalogueSource catalogue;
    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timers;
    private final RateSettings settings;
    private final long boot;
    private final MeterRegistry registry;
    private final Map<TeamId, TeamBorrower> borrowers = new HashMap<>();
    private final CompositeDisposable work = new CompositeDisposable();
    private long reports;

    /**
     * Creates a gate without shares.
     *
     * @param catalogue the source of the rate limits
     * @param ownership the owner of each team's rate
     * @param peers the connections to the other VMs
     * @param timers the clock and timers
     * @param settings the periods and timeouts of share lending
     * @param boot a number that is unique among the processes of this VM
     * @param registry the registry of the counters
     */
    public LendingRateGate(
            final CatalogueSource catalogue,
            final Ownership ownership,
            final PeerTransport peers,
            final TimerService timers,
            final RateSettings settings,
            final long boot,
            final MeterRegistry registry) {
        this.catalogue = Objects.requireNonNull(catalogue);
        this.ownership = Objects.requireNonNull(ownership);
        this.peers = Objects.requireNonNull(peers);
        this.timers = Objects.requireNonNull(timers);
        this.settings = Objects.requireNonNull(settings);
        this.boot = boot;
        this.registry = Objects.requireNonNull(registry);
    }

    /** Starts the periodic reports to the owners. */
    public void start() {
        work.add(timers.every(TICK).subscribe(tick -> {
            borrowers.values().forEach(TeamBorrower::tick);
            borrowers.values().removeIf(TeamBorrower::discardable);
        }));
    }

    @Override
    public Single<RateGrant> admit(final TeamId team, final double units) {
        final Optional<RateLimit> limit =
                Optional.ofNullable(catalogue.current().teams().get(team)).map(Team::limit);
        if (limit.isEmpty()) {
            return Single.error(new BalsambankException(ErrorKind.FORBIDDEN, "the team is not in the catalogue"));
        }
        if (units > TeamRateAccount.maxLendableUnits(limit.get())) {
            return Single.error(new BalsambankException(
                    ErrorKind.RATE_EXCEEDED, "the request needs more units than may be lent at a time"));
        }
        return borrowers.computeIfAbsent(team, this::newBorrower).admit(units);
    }

    /** Returns all shares to their owners, for a planned stop. */
    public void returnAllShares() {
        borrowers.values().forEach(TeamBorrower::stop);
    }

    private TeamBorrower newBorrower(final TeamId team) {
        return new TeamBorrower(timers, settings, report -> send(team, report), () -> ++reports, work);
    }

    private Single<ShareGrant> send(final TeamId team, final ShareReport report) {
        final PartitionId partition = ownership.partitionOf(SubjectKind.TEAM, team.value());
        final Optional<VmId> owner = ownership.ownerOf(partition);
        if (owner.isEmpty()) {
            return Single.error(new BalsambankException(ErrorKind.NO_OWNER, "the team's rate has no owner"));
        }
        registry.counter(REPORTS).increment();
        return peers.call(
                        owner.get(),
                        TeamMethods.REPORT,
                        ShareMessages.encodeReport(team, boot, report),
                        settings.reportTimeout())
                .map(response -> ShareMessages.decodeGrant(report.number(), response));
    }

    @Override
    public void dispose() {
        work.dispose();
    }

    @Override
    public boolean isDisposed() {
        return work.isDisposed();
    }
}
