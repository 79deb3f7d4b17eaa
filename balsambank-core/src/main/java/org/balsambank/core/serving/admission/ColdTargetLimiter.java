package org.balsambank.core.serving.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.time.TimerService;

/**
 * Limits the requests that all VMs together send to a cold target within any second.
 *
 * <p>Each VM uses an equal part of the limit; if that is less than one request, the highest-ranked VMs for the target
 * get one each and the others none. Requests to all targets are recorded, as a target may become cold at any time. This
 * protects targets that restart together while all VMs have requests waiting for them. Confined to the decision loop.
 */
public final class ColdTargetLimiter {
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_RECORDED = 64;
    /** The part of the limit that is used if the VMs get one request each, as VMs may disagree about their ranks. */
    private static final double RANKED_SHARE = 0.8;

    private final TimerService timer;
    private final FleetView fleet;
    private final double overage;
    private final double slack;
    private final Map<TargetId, Deque<Long>> requests = new HashMap<>();

    /**
     * Creates an instance without recorded requests.
     *
     * @param timer the timer service
     * @param fleet the number and ranks of the VMs that share the limit
     * @param overage the factor on the limit of a cold target, for the requests of one second
     * @param slack the requests per second allowed on top of that
     */
    public ColdTargetLimiter(
            final TimerService timer, final FleetView fleet, final double overage, final double slack) {
        this.timer = Objects.requireNonNull(timer);
        this.fleet = Objects.requireNonNull(fleet);
        this.overage = overage;
        this.slack = slack;
    }

    /**
     * Returns whether this VM may send one more request to a cold target.
     *
     * @param target the target
     * @param perSecond the requests per second that it accepts from all VMs
     * @return true if the part of this VM is not exhausted
     */
    public boolean allows(final TargetId target, final double perSecond) {
        final double total = perSecond * overage + slack;
        final int ownShare = (int) Math.floor(total / Math.max(1, fleet.vms()));
        if (ownShare == 0) {
            return recentRequests(target).isEmpty() && fleet.rank(target) < Math.floor(total * RANKED_SHARE);
        }
        return recentRequests(target).size() < ownShare;
    }

    /**
     * Records a request to a target.
     *
     * @param target the target
     */
    public void recordRequest(final TargetId target) {
        final Deque<Long> recorded = recentRequests(target);
        if (recorded.size() < MAX_RECORDED) {
            recorded.addLast(timer.nanoTime());
        }
    }

    private Deque<Long> recentRequests(final TargetId target) {
        final Deque<Long> recorded = requests.computeIfAbsent(target, ignored -> new ArrayDeque<>());
        final long now = timer.nanoTime();
        while (!recorded.isEmpty() && now - recorded.peekFirst() > WINDOW_NANOS) {
            recorded.removeFirst();
        }
        return recorded;
    }
}
