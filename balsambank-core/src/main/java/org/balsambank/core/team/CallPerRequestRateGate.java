package org.balsambank.core.team;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.time.TimerService;

/**
 * Calls the owner of the team's rate for each request. A baseline for measurements.
 *
 * <p>Confined to the decision loop. Each request waits for a round trip, and no request is admitted while the owner
 * does not respond. Units that a request does not use are returned with the next call.
 */
public final class CallPerRequestRateGate implements RateGate {
    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timers;
    private final RateSettings settings;
    private final long firstBoot;
    private final Map<TeamId, Double> unusedUnits = new HashMap<>();
    private long calls;

    /**
     * Creates a gate.
     *
     * @param ownership the owner of each team's rate
     * @param peers the connections to the other VMs
     * @param timers the clock and timers
     * @param settings the periods and timeouts of share lending
     * @param firstBoot the number that the boot numbers of the calls count up from; each call reports as another
     *     borrower
     */
    public CallPerRequestRateGate(
            final Ownership ownership,
            final PeerTransport peers,
            final TimerService timers,
            final RateSettings settings,
            final long firstBoot) {
        this.ownership = Objects.requireNonNull(ownership);
        this.peers = Objects.requireNonNull(peers);
        this.timers = Objects.requireNonNull(timers);
        this.settings = Objects.requireNonNull(settings);
        this.firstBoot = firstBoot;
    }

    @Override
    public Single<RateGrant> admit(final TeamId team, final double units) {
        return Single.defer(() -> {
            final Optional<VmId> owner = ownership.ownerOf(ownership.partitionOf(SubjectKind.TEAM, team.value()));
            if (owner.isEmpty()) {
                return Single.error(new BalsambankException(ErrorKind.NO_OWNER, "the team's rate has no owner"));
            }
            final BorrowedShare share = new BorrowedShare();
            final long sentNanos = timers.nanoTime();
            final ShareReport report = new ShareReport(1, 0, 0, 0, 0, 0, takeUnused(team), 0, units, 0);
            return peers.call(
                            owner.get(),
                            TeamMethods.REPORT,
                            ShareMessages.encodeReport(team, firstBoot + ++calls, report),
                            settings.reportTimeout())
                    .map(response -> ShareMessages.decodeGrant(1, response))
                    .flatMap(grant -> {
                        share.replace(grant, sentNanos, timers.nanoTime());
                        if (share.take(units, timers.nanoTime())) {
                            return Single.just(new RefundingRateGrant(
                                    units, unused -> unusedUnits.merge(team, unused, Double::sum)));
                        }
                        unusedUnits.merge(team, share.level(timers.nanoTime()), Double::sum);
                        return Single.error(new BalsambankException(
                                ErrorKind.RATE_EXCEEDED, "the team's rate is used up", grant.retryAfter()));
                    });
        });
    }

    private double takeUnused(final TeamId team) {
        final Double unused = unusedUnits.remove(team);
        return unused == null ? 0 : unused;
    }
}
