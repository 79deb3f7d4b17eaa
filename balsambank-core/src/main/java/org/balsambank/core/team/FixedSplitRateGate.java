package org.balsambank.core.team;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntSupplier;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.time.TimerService;

/**
 * Splits each team's rate and burst evenly over the VMs. A baseline for measurements.
 *
 * <p>Confined to the decision loop. The team's limit holds across the fleet only while the number of VMs does not
 * change. Where demand is uneven, a VM refuses requests although the team's rate is not used up.
 */
public final class FixedSplitRateGate implements RateGate {
    private final CatalogueSource catalogue;
    private final TimerService timers;
    private final IntSupplier vmCount;
    private final Map<TeamId, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates a gate with full buckets.
     *
     * @param catalogue the source of the rate limits
     * @param timers the clock and timers
     * @param vmCount the number of VMs
     */
    public FixedSplitRateGate(final CatalogueSource catalogue, final TimerService timers, final IntSupplier vmCount) {
        this.catalogue = Objects.requireNonNull(catalogue);
        this.timers = Objects.requireNonNull(timers);
        this.vmCount = Objects.requireNonNull(vmCount);
    }

    @Override
    public Single<RateGrant> admit(final TeamId team, final double units) {
        return Single.defer(() -> {
            final long now = timers.nanoTime();
            final TokenBucket bucket = buckets.computeIfAbsent(team, id -> newBucket(id, now));
            if (bucket.take(units, now)) {
                return Single.just(new RefundingRateGrant(units, unused -> bucket.refund(unused, timers.nanoTime())));
            }
            return Single.error(new BalsambankException(
                    ErrorKind.RATE_EXCEEDED, "the team's rate is used up", bucket.delayUntil(units, now)));
        });
    }

    private TokenBucket newBucket(final TeamId team, final long now) {
        final Optional<RateLimit> limit =
                Optional.ofNullable(catalogue.current().teams().get(team)).map(Team::limit);
        final int vms = vmCount.getAsInt();
        final RateLimit vmLimit = limit.map(all -> new RateLimit(all.unit(), all.perSecond() / vms, all.burst() / vms))
                .orElseThrow();
        return new TokenBucket(vmLimit, vmLimit.burst(), now);
    }
}
