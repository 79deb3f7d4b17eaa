package org.balsambank.core.team;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.time.TimerService;

/**
 * Applies the whole rate of each team on this VM. The team's limit holds only in a fleet of one VM.
 *
 * <p>Confined to the decision loop.
 */
public final class LocalRateGate implements RateGate {
    private final CatalogueSource catalogue;
    private final TimerService timers;
    private final Map<TeamId, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates a gate with full buckets.
     *
     * @param catalogue the source of the rate limits
     * @param timers the clock and timers
     */
    public LocalRateGate(final CatalogueSource catalogue, final TimerService timers) {
        this.catalogue = Objects.requireNonNull(catalogue);
        this.timers = Objects.requireNonNull(timers);
    }

    @Override
    public Single<RateGrant> admit(final TeamId team, final double units) {
        return Single.defer(() -> decide(team, units));
    }

    private Single<RateGrant> decide(final TeamId team, final double units) {
        final Optional<RateLimit> limit =
                Optional.ofNullable(catalogue.current().teams().get(team)).map(Team::limit);
        if (limit.isEmpty()) {
            return Single.error(new BalsambankException(ErrorKind.FORBIDDEN, "the team is not in the catalogue"));
        }
        final long now = timers.nanoTime();
        final TokenBucket bucket = bucket(team, limit.get(), now);
        if (bucket.take(units, now)) {
            return Single.just(new RefundingRateGrant(units, unused -> bucket.refund(unused, timers.nanoTime())));
        }
        return Single.error(exceeded(bucket.delayUntil(units, now)));
    }

    private TokenBucket bucket(final TeamId team, final RateLimit limit, final long now) {
        final TokenBucket bucket = buckets.computeIfAbsent(team, id -> new TokenBucket(limit, limit.burst(), now));
        if (!bucket.limit().equals(limit)) {
            bucket.replaceLimit(limit, now);
        }
        return bucket;
    }

    private static BalsambankException exceeded(final Duration delay) {
        return new BalsambankException(ErrorKind.RATE_EXCEEDED, "the team's rate is used up", delay);
    }
}
