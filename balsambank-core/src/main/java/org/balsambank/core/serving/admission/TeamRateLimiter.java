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
 * Keeps each team to the rate that it bought, over all VMs together.
 *
 * <p>Each VM keeps a bucket for the whole fleet and takes from it what it admits at once and what others admit as soon
 * as they tell. What they have not told yet counts as what they have told just now, or as what this VM has just
 * admitted beyond one request, once for each of them, whichever is more. What becomes known late turns the level
 * negative and is paid back before more is admitted. A VM that does not hear some of the others uses only the share of
 * those that it hears. Answers the load pattern of one team that sends many times its usual through all VMs at once.
 * Confined to the decision loop.
 */
public final class TeamRateLimiter {
    private static final double FIRST_FILL = 0.25;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long MAX_RETRY_MILLIS = 2_000;

    private final TimerService timer;
    private final FleetView fleet;
    private final RateSlack slack;
    private final Map<TeamId, DebtBucket> buckets = new HashMap<>();
    private final Map<TeamId, Double> admitted = new HashMap<>();
    private final Map<TeamId, RecentAdmissions> recent = new HashMap<>();
    private final Map<TeamId, RecentAdmissions> elsewhere = new HashMap<>();

    /**
     * Creates buckets that nobody has used.
     *
     * @param timer gives the time
     * @param fleet tells how many VMs share the rates
     * @param slack how far rates may be exceeded
     */
    public TeamRateLimiter(final TimerService timer, final FleetView fleet, final RateSlack slack) {
        this.timer = Objects.requireNonNull(timer);
        this.fleet = Objects.requireNonNull(fleet);
        this.slack = Objects.requireNonNull(slack);
    }

    /**
     * Admits a request or tells when to come back.
     *
     * @param team the team
     * @param units the units of the request
     * @return empty if it is admitted, else the time until the team has units again
     */
    public Optional<Duration> admit(final TeamSpec team, final double units) {
        if (team.limit().isEmpty()) {
            return Optional.empty();
        }
        final DebtBucket bucket = filled(team.id(), team.limit().get());
        if (bucket.level() - untold(team.id()) <= 0) {
            return Optional.of(untilFilled(bucket, units));
        }
        take(team.id(), bucket, units);
        return Optional.empty();
    }

    /**
     * Gives back the units of a request that has not run.
     *
     * @param team the team
     * @param units the units that it was admitted with
     */
    public void giveBack(final TeamSpec team, final double units) {
        if (team.limit().isPresent()) {
            take(team.id(), filled(team.id(), team.limit().get()), -units);
        }
    }

    /**
     * Other VMs tell what they have admitted.
     *
     * @param team the team
     * @param units the units that were not told before, below zero if given back
     */
    public void admittedElsewhere(final TeamId team, final long units) {
        final DebtBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.take(units);
        }
        elsewhere.computeIfAbsent(team, ignored -> new RecentAdmissions()).add(units, timer.nanoTime());
    }

    /**
     * Returns what this VM has admitted since its start.
     *
     * @return the units of each team
     */
    public Map<TeamId, Long> totals() {
        final Map<TeamId, Long> totals = new HashMap<>();
        admitted.forEach((team, units) -> totals.put(team, Math.round(units)));
        return totals;
    }

    private DebtBucket filled(final TeamId team, final RateLimit bought) {
        final RateLimit limit = slack.widen(bought);
        final long now = timer.nanoTime();
        final DebtBucket bucket =
                buckets.computeIfAbsent(team, ignored -> new DebtBucket(limit, limit.burst() * FIRST_FILL, now));
        bucket.fill(share(), now);
        if (!bucket.limit().equals(limit)) {
            bucket.replaceLimit(limit);
        }
        return bucket;
    }

    private double untold(final TeamId team) {
        final long now = timer.nanoTime();
        final RecentAdmissions own = recent.get(team);
        final RecentAdmissions others = elsewhere.get(team);
        final double likeOwn = own == null ? 0 : own.unitsBeyondOne(now) * (fleet.reachableVms() - 1);
        return Math.max(likeOwn, others == null ? 0 : others.units(now));
    }

    private double share() {
        return Math.min(1, (double) fleet.reachableVms() / Math.max(1, fleet.vms()));
    }

    private void take(final TeamId team, final DebtBucket bucket, final double units) {
        bucket.take(units);
        admitted.merge(team, units, Double::sum);
        recent.computeIfAbsent(team, ignored -> new RecentAdmissions()).add(units, timer.nanoTime());
    }

    private Duration untilFilled(final DebtBucket bucket, final double units) {
        final double rate = Math.max(1, bucket.limit().perSecond() * share());
        final double millis = (units - bucket.level()) / rate * MILLIS_PER_SECOND;
        return Duration.ofMillis(Math.min(MAX_RETRY_MILLIS, Math.max(1, Math.round(millis))));
    }
}
