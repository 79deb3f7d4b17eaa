package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.serving.plan.TeamSpec;
import org.balsambank.core.time.TimerService;

/**
 * Enforces the rate limit of each team over all VMs together.
 *
 * <p>Each VM keeps one token bucket per team for the whole fleet. It takes the units that it admits itself immediately,
 * and those that other VMs admit when they report them. What is not reported yet is estimated for the age of this VM's
 * view, in two ways. From what others have reported: the rate of that, without what the full part of the bucket regains
 * meanwhile. From what this VM admitted in that time: as much by each of the others, except for as many requests as
 * chance gives one VM of a team that stays within its rate, and fewer the emptier the bucket is. Usage that becomes
 * known late makes the level negative and must be refilled before more is admitted. A VM without reports from some of
 * the others uses only the share of the VMs that it has reports from, itself included. This bounds the rate of a team
 * that sends many times its usual load through all VMs at once. Confined to the decision loop.
 */
public final class TeamRateLimiter {
    private static final double INITIAL_FILL = 0.25;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_VIEW_DELAY_NANOS = Duration.ofMillis(150).toNanos();
    /** Reports come in lumps, so their rate is taken over several of them. */
    private static final double REPORT_DELAYS = 3;

    private static final double MIN_REPORT_NANOS = Duration.ofMillis(500).toNanos();
    /** Standard deviations of the number of requests that reach one VM by chance. */
    private static final double CHANCE_DEVIATIONS = 2;

    private static final long START_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final long MAX_RETRY_MILLIS = 2_000;

    private final TimerService timer;
    private final FleetView fleet;
    private final RateSlack slack;
    private final Map<TeamId, DebtBucket> buckets = new HashMap<>();
    private final Map<TeamId, Double> admitted = new HashMap<>();
    private final Map<TeamId, RecentAdmissions> recentLocal = new HashMap<>();
    private final Map<TeamId, RecentAdmissions> recentElsewhere = new HashMap<>();
    private OptionalLong firstUseNanos = OptionalLong.empty();

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
        if (!hasUnits(team.id(), bucket, units)) {
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
        recentElsewhere
                .computeIfAbsent(team, ignored -> new RecentAdmissions())
                .add(units, timer.nanoTime(), reportNanos());
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

    private boolean hasUnits(final TeamId team, final DebtBucket bucket, final double requested) {
        final long now = timer.nanoTime();
        if (firstUseNanos.isEmpty()) {
            firstUseNanos = OptionalLong.of(now);
        }
        final boolean starting = now - firstUseNanos.getAsLong() < START_NANOS;
        final double available = bucket.level() - (starting ? 0 : unreportedElsewhere(team, bucket));
        if (available <= 0) {
            return false;
        }
        final RecentAdmissions local = recentLocal.get(team);
        if (local == null) {
            return true;
        }
        final double fullness = starting ? 1 : Math.min(1, available / burst(bucket));
        final double byChance =
                1 + CHANCE_DEVIATIONS * Math.sqrt(expectedRequests(bucket, local, requested)) * fullness;
        final double others = fleet.reachableVms() - 1;
        return local.unitsBeyond(byChance, now, viewDelayNanos()) * others < available;
    }

    /** Returns the units that others have admitted and not reported, judging by the rate of what they reported. */
    private double unreportedElsewhere(final TeamId team, final DebtBucket bucket) {
        final RecentAdmissions reported = recentElsewhere.get(team);
        if (reported == null) {
            return 0;
        }
        final double rate = reported.units(timer.nanoTime(), reportNanos()) / reportNanos() * NANOS_PER_SECOND;
        final double regained = bucket.limit().perSecond() * Math.max(0, bucket.level() / burst(bucket));
        return Math.max(0, rate - regained) * share() * viewDelayNanos() / NANOS_PER_SECOND;
    }

    /** Returns the requests that reach this VM until the others know of them, if the team uses its whole rate. */
    private double expectedRequests(final DebtBucket bucket, final RecentAdmissions local, final double requested) {
        final double units = bucket.limit().perSecond() * viewDelayNanos() / NANOS_PER_SECOND / fleet.vms();
        return units / local.average(requested);
    }

    private double burst(final DebtBucket bucket) {
        return Math.max(1, bucket.limit().burst() * share());
    }

    private double viewDelayNanos() {
        return Math.max(MIN_VIEW_DELAY_NANOS, fleet.viewDelay().toNanos());
    }

    private double reportNanos() {
        return Math.max(MIN_REPORT_NANOS, REPORT_DELAYS * viewDelayNanos());
    }

    private double share() {
        return Math.min(1, (double) fleet.reachableVms() / Math.max(1, fleet.vms()));
    }

    private void take(final TeamId team, final DebtBucket bucket, final double units) {
        bucket.take(units);
        admitted.merge(team, units, Double::sum);
        recentLocal
                .computeIfAbsent(team, ignored -> new RecentAdmissions())
                .add(units, timer.nanoTime(), viewDelayNanos());
    }

    private Duration untilFilled(final DebtBucket bucket, final double units) {
        final double rate = Math.max(1, bucket.limit().perSecond() * share());
        final double millis = (units - bucket.level()) / rate * MILLIS_PER_SECOND;
        return Duration.ofMillis(Math.min(MAX_RETRY_MILLIS, Math.max(1, Math.round(millis))));
    }
}
