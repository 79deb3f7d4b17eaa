package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.Objects;

import org.balsambank.core.serving.plan.RepeatPolicy;
import org.balsambank.core.serving.plan.Route;
import org.balsambank.core.time.TimerService;

/**
 * The time that one request has left until its deadline and its latency objective.
 *
 * <p>Confined to the decision loop.
 */
final class RequestDeadline {
    private static final long MARGIN_NANOS = Duration.ofMillis(15).toNanos();
    private static final double MAX_LATENCY_OBJECTIVES = 3.6;

    /**
     * While a service is overloaded, a stream that begins this late takes the place of one that would begin in time.
     * Two objectives would reject most requests that wait for a free adapter slot.
     */
    private static final double MAX_LATENCY_OBJECTIVES_IN_OVERLOAD = 2.5;

    private static final double DEADLINE_SHARE = 0.9;
    private static final long DEFAULT_MILLIS = 30_000;

    private final TimerService timer;
    private final long arrivedNanos;
    private final long endNanos;

    /**
     * Creates the deadline of a request.
     *
     * @param timer the timer service
     * @param attributes the attributes of the request
     * @param route the route by which it is accepted
     */
    RequestDeadline(final TimerService timer, final RequestAttributes attributes, final Route route) {
        this.timer = Objects.requireNonNull(timer);
        arrivedNanos = attributes.arrivedNanos();
        final long requested = attributes.deadlineMillis() > 0 ? attributes.deadlineMillis() : DEFAULT_MILLIS;
        final long limit = route.timeoutMillis() > 0 ? Math.min(requested, route.timeoutMillis()) : requested;
        endNanos = arrivedNanos + Duration.ofMillis(limit).toNanos() - MARGIN_NANOS;
    }

    /** Returns the deadline, on the monotonic clock. */
    long endNanos() {
        return endNanos;
    }

    /** Returns the time until the deadline, negative after it. */
    Duration remaining() {
        return Duration.ofNanos(endNanos - timer.nanoTime());
    }

    /**
     * Returns the time until the latency objective.
     *
     * @param route the route of the request
     * @return milliseconds, at least 1; 0 if the route has no objective
     */
    long remainingObjectiveMillis(final Route route) {
        if (route.targetLatencyMillis() <= 0) {
            return 0;
        }
        final long elapsed = Duration.ofNanos(timer.nanoTime() - arrivedNanos).toMillis();
        return Math.max(1, route.targetLatencyMillis() - elapsed);
    }

    /**
     * Returns whether a request can't be served in time.
     *
     * @param route the route of the request
     * @param estimateMillis the estimated time to the first chunk
     * @param overloaded whether more is offered to the service than its targets finish in time
     * @return true if it would come after the deadline, or for a stream long after its objective
     */
    boolean cannotBeMet(final Route route, final double estimateMillis, final boolean overloaded) {
        final double remainingMillis = remaining().toMillis() * DEADLINE_SHARE;
        if (route.repeatPolicy() != RepeatPolicy.STREAM || route.targetLatencyMillis() <= 0) {
            return estimateMillis > remainingMillis;
        }
        final double objectives = overloaded ? MAX_LATENCY_OBJECTIVES_IN_OVERLOAD : MAX_LATENCY_OBJECTIVES;
        return estimateMillis > Math.min(remainingMillis, objectives * route.targetLatencyMillis());
    }
}
