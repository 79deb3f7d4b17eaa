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
 * Keeps what all VMs send to a target within any second to what a cold target bears.
 *
 * <p>Each VM uses an equal part; where that is less than one request, the first VMs in the order of the target get one
 * each and the others none. Sends to all targets are noted, as a target may become cold at any moment. Answers the
 * load pattern of targets that come back together and find all VMs waiting. Confined to the decision loop.
 */
public final class ColdTargetLimiter {
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_NOTED = 64;
    /** The part of the limit that is used while VMs may differ about their order. */
    private static final double MARGIN = 0.8;

    private final TimerService timer;
    private final FleetView fleet;
    private final double overage;
    private final double slack;
    private final Map<TargetId, Deque<Long>> sends = new HashMap<>();

    /**
     * Creates a share of which nothing is used.
     *
     * @param timer gives the time
     * @param fleet tells how many VMs share the limit
     * @param overage how far the requests of a second may exceed what a target says that it bears, as a factor
     * @param slack how many more requests it bears
     */
    public ColdTargetLimiter(
            final TimerService timer, final FleetView fleet, final double overage, final double slack) {
        this.timer = Objects.requireNonNull(timer);
        this.fleet = Objects.requireNonNull(fleet);
        this.overage = overage;
        this.slack = slack;
    }

    /**
     * Tells whether a cold target may get one more request from this VM.
     *
     * @param target the target
     * @param perSecond what it says that it bears from all VMs
     * @return true if the part of this VM is not used up
     */
    public boolean allows(final TargetId target, final double perSecond) {
        final double total = perSecond * overage + slack;
        final int part = (int) Math.floor(total / Math.max(1, fleet.vms()));
        if (part == 0) {
            return recent(target).isEmpty() && fleet.rank(target) < Math.floor(total * MARGIN);
        }
        return recent(target).size() < part;
    }

    /**
     * Notes a send.
     *
     * @param target the target
     */
    public void sent(final TargetId target) {
        final Deque<Long> noted = recent(target);
        if (noted.size() < MAX_NOTED) {
            noted.addLast(timer.nanoTime());
        }
    }

    private Deque<Long> recent(final TargetId target) {
        final Deque<Long> noted = sends.computeIfAbsent(target, ignored -> new ArrayDeque<>());
        final long now = timer.nanoTime();
        while (!noted.isEmpty() && now - noted.peekFirst() > WINDOW_NANOS) {
            noted.removeFirst();
        }
        return noted;
    }
}
