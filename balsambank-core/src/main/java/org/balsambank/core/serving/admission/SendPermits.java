package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.core.target.TargetLimit;
import org.balsambank.core.time.TimerService;

/**
 * The permits for requests to targets that limit the requests of all VMs together.
 *
 * <p>One VM issues the permits of a target, from a token bucket that it lets go into debt: a request that can wait gets
 * a permit for a later time. A VM that begins to issue permits does not know those of the VM before, so it waits until
 * they have been used. A VM without reports from some of the others issues only the share of the VMs that it has
 * reports from, as the others may have an issuer of their own. Confined to the decision loop.
 */
public final class SendPermits {
    /** The longest time that a request waits for its turn. */
    public static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Duration MAX_RETRY = Duration.ofMinutes(1);

    private final TargetLimits limits;
    private final FleetView fleet;
    private final TimerService timer;
    private final Map<TargetStart, Issued> issued = new HashMap<>();
    private final Map<TargetStart, Long> nextNanos = new HashMap<>();

    /**
     * Creates an instance that has issued no permits.
     *
     * @param limits the limits of targets
     * @param fleet the size of the fleet
     * @param timer the timer service
     */
    public SendPermits(final TargetLimits limits, final FleetView fleet, final TimerService timer) {
        this.limits = Objects.requireNonNull(limits);
        this.fleet = Objects.requireNonNull(fleet);
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Issues a permit. Only the VM that issues the permits of the target calls this.
     *
     * @param target the start of the target
     * @param maxWait the longest time that the request can wait
     * @return the permit, for at most {@link #MAX_WAIT} from now, or a refusal
     */
    public SendPermit issue(final TargetStart target, final Duration maxWait) {
        final TargetLimit limit = limits.of(target);
        if (!limit.limited()) {
            issued.remove(target);
            return SendPermit.immediate(limit);
        }
        issued.keySet().removeIf(each -> !limits.of(each).limited());
        final RateLimit rate = limit.rate();
        final double share = Math.min(1, (double) fleet.reachableVms() / Math.max(1, fleet.vms()));
        final long now = timer.nanoTime();
        final Issued permits = issued.computeIfAbsent(
                target, ignored -> new Issued(limit, new DebtBucket(rate, firstLevel(rate), now)));
        permits.fill(limit, new RateLimit(rate.unit(), rate.perSecond() * share, rate.burst()), now);
        final Duration wait = untilOne(permits.bucket);
        if (wait.compareTo(MAX_WAIT) > 0 || wait.compareTo(maxWait) > 0) {
            return SendPermit.refused(wait, limit);
        }
        permits.bucket.take(1);
        return new SendPermit(true, wait, limit);
    }

    /** Stops issuing permits of a target, as another VM does so. */
    public void forget(final TargetStart target) {
        issued.remove(target);
    }

    /**
     * Records what the issuer has answered, to estimate when the next permit can be had.
     *
     * @param target the start of the target
     * @param permit the answer
     */
    public void recordAnswer(final TargetStart target, final SendPermit permit) {
        nextNanos.keySet().removeIf(each -> !limits.of(each).limited());
        if (!permit.limit().limited()) {
            return;
        }
        final double perSecond = permit.limit().rate().perSecond();
        final long interval = permit.granted() ? (long) (Duration.ofSeconds(1).toNanos() / perSecond) : 0;
        nextNanos.put(target, timer.nanoTime() + permit.delay().toNanos() + interval);
    }

    /**
     * Returns how long a request to a target is expected to wait for its turn.
     *
     * @param target the start of the target
     * @return the time, zero if the target names no limit or this VM has not asked for a permit lately
     */
    public Duration expectedWait(final TargetStart target) {
        final Long next = nextNanos.get(target);
        if (next == null || !limits.of(target).limited()) {
            return Duration.ZERO;
        }
        return Duration.ofNanos(Math.max(0, next - timer.nanoTime()));
    }

    /**
     * Returns whether a target limits its requests.
     *
     * @param target the start of the target
     * @return true if requests to it need a permit
     */
    public boolean needed(final TargetStart target) {
        return limits.of(target).limited();
    }

    /** Returns the level of a bucket that has a permit once all those of an earlier issuer have been used. */
    private static double firstLevel(final RateLimit rate) {
        return 1 - rate.perSecond() * MAX_WAIT.toSeconds();
    }

    private static Duration untilOne(final DebtBucket bucket) {
        final double missing = 1 - bucket.level();
        if (missing <= 0) {
            return Duration.ZERO;
        }
        final double millis = Math.ceil(missing / bucket.limit().perSecond() * MILLIS_PER_SECOND);
        return Duration.ofMillis((long) Math.min(MAX_RETRY.toMillis(), millis));
    }

    /** The permits that this VM has issued for one start of a target. */
    private static final class Issued {
        private TargetLimit limit;
        private final DebtBucket bucket;

        private Issued(final TargetLimit limit, final DebtBucket bucket) {
            this.limit = limit;
            this.bucket = bucket;
        }

        /** Refills the bucket. Permits for later that were issued under another limit are void. */
        private void fill(final TargetLimit current, final RateLimit rate, final long now) {
            bucket.fill(1, now);
            bucket.replaceLimit(rate);
            if (!current.equals(limit)) {
                limit = current;
                bucket.take(Math.min(0, bucket.level() - firstLevel(current.rate())));
            }
        }
    }
}
