package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.time.TimerService;

/**
 * Enforces the rate limit of each team over all VMs together.
 *
 * <p>Each VM keeps one token bucket per team for the whole fleet. It takes the units that it admits itself immediately,
 * and those that other VMs admit when they report them. Usage that is not reported yet is estimated as the larger of
 * the units that the others reported recently, and the units that this VM recently admitted beyond one request,
 * multiplied by the number of the others. Usage that becomes known late makes the level negative and must be refilled
 * before more is admitted. A VM without reports from some of the others uses only the share of the VMs that it has
 * reports from, itself included. This bounds the rate of a team that sends many times its usual load through all VMs at
 * once. Confined to the decision loop.
 */
public final class TeamRateLimiter {
    private static final double INITIAL_FILL = 0.25;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long MAX_RETRY_MILLIS = 2_000;

    private final TimerService timer;
    private final FleetView fleet;
    private final RateSlack slack;
    private final Map<TeamId, DebtBucket> buckets = new HashMap<>();
    private final Map<TeamId, Double> admitted = new HashMap<>();
    private final Map<TeamId, RecentAdmissions> recentLocal = new HashMap<>();
    private final Map<TeamId, RecentAdmissions> recentElsewhere = new HashMap<>();

    /**
     * Creates an instance without usage.
     *
     * @param timer the timer service
     * @param fleet the number of VMs that share the rates
     * @param slack the tolerance for exceeding rates
     */
    public TeamRateLimiter(final TimerService timer, final FleetView fleet, final RateSlack slack) {
        this.timer = Objects.requireNonNull(timer);
        this.fleet = Objects.requireNonNull(fleet);
        this.slack = Objects.requireNonNull(slack);
    }

    /**
     * Admits a request, or returns the delay after which to retry.
     *
     * @param team the team
     * @param units the units of the request
     * @return empty if it is admitted, otherwise the time until the team has enough units again
     */
    public Optional<Duration> admit(final TeamSpec team, final double units) {
        if (team.limit().isEmpty()) {
            return Optional.empty();
        }
        final DebtBucket bucket = refilled(team.id(), team.limit().get());
        if (bucket.level() - unreportedUnits(team.id()) <= 0) {
            return Optional.of(untilFilled(bucket, units));
        }
        take(team.id(), bucket, units);
        return Optional.empty();
    }

    /**
     * Returns the units of a request that was not executed to the bucket.
     *
     * @param team the team
     * @param units the units that it was admitted with
     */
    public void refund(final TeamSpec team, final double units) {
        if (team.limit().isPresent()) {
            take(team.id(), refilled(team.id(), team.limit().get()), -units);
        }
    }

    /**
     * Records units that other VMs report as admitted.
     *
     * @param team the team
     * @param units the units not reported before, negative if returned
     */
    public void admittedElsewhere(final TeamId team, final long units) {
        final DebtBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.take(units);
        }
        recentElsewhere.computeIfAbsent(team, ignored -> new RecentAdmissions()).add(units, timer.nanoTime());
    }

    /**
     * Returns the units that this VM has admitted since its start.
     *
     * @return the units of each team
     */
    public Map<TeamId, Long> totals() {
        final Map<TeamId, Long> totals = new HashMap<>();
        admitted.forEach((team, units) -> totals.put(team, Math.round(units)));
        return totals;
    }

    private DebtBucket refilled(final TeamId team, final RateLimit configured) {
        final RateLimit limit = slack.widen(configured);
        final long now = timer.nanoTime();
        final DebtBucket bucket =
                buckets.computeIfAbsent(team, ignored -> new DebtBucket(limit, limit.burst() * INITIAL_FILL, now));
        bucket.fill(share(), now);
        if (!bucket.limit().equals(limit)) {
            bucket.replaceLimit(limit);
        }
        return bucket;
    }

    private double unreportedUnits(final TeamId team) {
        final long now = timer.nanoTime();
        final RecentAdmissions local = recentLocal.get(team);
        final RecentAdmissions others = recentElsewhere.get(team);
        final double estimate = local == null ? 0 : local.unitsBeyondOne(now) * (fleet.reachableVms() - 1);
        return Math.max(estimate, others == null ? 0 : others.units(now));
    }

    private double share() {
        return Math.min(1, (double) fleet.reachableVms() / Math.max(1, fleet.vms()));
    }

    private void take(final TeamId team, final DebtBucket bucket, final double units) {
        bucket.take(units);
        admitted.merge(team, units, Double::sum);
        recentLocal.computeIfAbsent(team, ignored -> new RecentAdmissions()).add(units, timer.nanoTime());
    }

    private Duration untilFilled(final DebtBucket bucket, final double units) {
        final double rate = Math.max(1, bucket.limit().perSecond() * share());
        final double millis = (units - bucket.level()) / rate * MILLIS_PER_SECOND;
        return Duration.ofMillis(Math.min(MAX_RETRY_MILLIS, Math.max(1, Math.round(millis))));
    }
}
