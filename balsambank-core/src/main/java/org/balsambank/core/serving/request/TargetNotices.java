package org.balsambank.core.serving.request;

import java.util.Objects;

import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetLimits;
import org.balsambank.core.serving.target.TargetTable;

/**
 * Records what the heads of responses to one request say about the targets that have sent them.
 *
 * <p>Confined to the decision loop.
 */
final class TargetNotices {
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final TargetTable targets;
    private final TargetLimits limits;
    private final ReportedLoads loads;
    private final RequestMetrics metrics;
    private final RequestId request;

    /**
     * Creates an instance.
     *
     * @param targets the known targets
     * @param limits the limits that they name
     * @param loads the loads that they report
     * @param metrics counts the notices
     * @param request the request
     */
    TargetNotices(
            final TargetTable targets,
            final TargetLimits limits,
            final ReportedLoads loads,
            final RequestMetrics metrics,
            final RequestId request) {
        this.targets = Objects.requireNonNull(targets);
        this.limits = Objects.requireNonNull(limits);
        this.loads = Objects.requireNonNull(loads);
        this.metrics = Objects.requireNonNull(metrics);
        this.request = Objects.requireNonNull(request);
    }

    /**
     * Records what a response says. The status 421 says nothing, since another target may have sent it that now has the
     * address.
     *
     * @param target the start of the target to which the request was sent
     * @param head the head of the response
     * @param sentNanos when the request was sent, on the monotonic clock
     * @return whether the target rejects the request and wants no others for a time, which is no failure
     */
    boolean record(final TargetAnnouncement target, final ResponseHead head, final long sentNanos) {
        if (head.status() == MISDIRECTED_REQUEST) {
            return false;
        }
        head.load().ifPresent(load -> loads.record(target, load, sentNanos));
        if (head.notice().leaving() && targets.recordLeaving(target, request)) {
            metrics.targetLeaving();
        }
        if (limits.recordNotice(target, head.notice().requestsPerSecond(), sentNanos, request)) {
            metrics.targetLimitChanged();
        }
        final boolean paused = head.status() == SERVICE_UNAVAILABLE
                && head.notice()
                        .retryAfter()
                        .filter(seconds -> targets.recordPause(target, seconds, request))
                        .isPresent();
        if (paused) {
            metrics.targetPaused();
        }
        return paused;
    }
}
