package org.balsambank.core.serving.request;

import java.util.Objects;

import org.balsambank.core.id.RequestId;
import org.balsambank.core.serving.target.TargetAnnouncement;
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
    private final RequestMetrics metrics;
    private final RequestId request;

    /**
     * Creates an instance.
     *
     * @param targets the known targets
     * @param metrics counts the notices
     * @param request the request
     */
    TargetNotices(final TargetTable targets, final RequestMetrics metrics, final RequestId request) {
        this.targets = Objects.requireNonNull(targets);
        this.metrics = Objects.requireNonNull(metrics);
        this.request = Objects.requireNonNull(request);
    }

    /**
     * Records what a response says. The status 421 says nothing, since another target may have sent it that now has the
     * address.
     *
     * @param target the start of the target to which the request was sent
     * @param head the head of the response
     * @return whether the target rejects the request and wants no others for a time, which is no failure
     */
    boolean record(final TargetAnnouncement target, final ResponseHead head) {
        if (head.leaving() && head.status() != MISDIRECTED_REQUEST && targets.recordLeaving(target, request)) {
            metrics.targetLeaving();
        }
        final boolean paused = head.status() == SERVICE_UNAVAILABLE
                && head.retryAfter()
                        .filter(seconds -> targets.recordPause(target, seconds, request))
                        .isPresent();
        if (paused) {
            metrics.targetPaused();
        }
        return paused;
    }
}
