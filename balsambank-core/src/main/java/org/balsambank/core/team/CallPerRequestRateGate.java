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
 * Asks the owner of the team's rate for each request. A baseline for measurements.
 *
 * <p>Confined to the decision loop. Each request waits for a round trip, and none is admitted while the owner does not
 * answer. Units that a request does not use go back with the
 * next call.
 */
public final class CallPerRequestRateGate implements RateGate {
    private final Ownership ownership;
    private final PeerTransport peers;
    private final TimerService timers;
    private final RateSettings settings;
    private final long firstBoot;
    private final Map<TeamId, Double> rests = new HashMap<>();
    private long calls;

    /**
     * Creates a gate.
     *
     * @param ownership tells which VM owns a team's rate
     * @param peers the links to the other VMs
     * @param timers give the time
     * @param settings the times of lending
     * @param firstBoot the first of the numbers that tell calls of this VM apart
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
            final long askNanos = timers.nanoTime();
            final ShareReport report = new ShareReport(1, 0, 0, 0, 0, 0, takeRest(team), 0, units, 0);
            return peers.call(
                            owner.get(),
                            TeamMethods.REPORT,
                            ShareMessages.ask(team, firstBoot + ++calls, report),
                            settings.reportTimeout())
                    .map(answer -> ShareMessages.grant(1, answer))
                    .flatMap(grant -> {
                        share.replace(grant, askNanos, timers.nanoTime());
                        if (share.take(units, timers.nanoTime())) {
                            return Single.just(
                                    new RefundingRateGrant(units, rest -> rests.merge(team, rest, Double::sum)));
                        }
                        rests.merge(team, share.level(timers.nanoTime()), Double::sum);
                        return Single.error(new BalsambankException(
                                ErrorKind.RATE_EXCEEDED, "the team's rate is used up", grant.retryAfter()));
                    });
        });
    }

    private double takeRest(final TeamId team) {
        final Double rest = rests.remove(team);
        return rest == null ? 0 : rest;
    }
}
