package org.balsambank.core.serving.choice;

import java.util.Objects;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetStart;

/**
 * Estimates the time that a request takes at a target of a plain service.
 *
 * <p>Confined to the decision loop.
 */
final class PlainEstimate {
    private static final double FAILURE_MILLIS = 800;
    private static final double PLAIN_REQUEST_MILLIS = 60;
    private static final double OTHER_DOMAIN_MILLIS = 6;

    private final TargetPerformance performance;
    private final SendPermits permits;
    private final boolean fading;

    /**
     * Creates an estimate.
     *
     * @param performance the measured slowdown and failure rate of targets
     * @param permits how long requests wait for targets that limit their requests
     * @param fading whether measurements count less the older they are
     */
    PlainEstimate(final TargetPerformance performance, final SendPermits permits, final boolean fading) {
        this.performance = Objects.requireNonNull(performance);
        this.permits = Objects.requireNonNull(permits);
        this.fading = fading;
    }

    /**
     * Estimates a choice.
     *
     * @param target the target
     * @param requests the requests that are expected at the target
     * @param forecast what the target's report lets expect of it
     * @param from the failure domain of the VM that sends the request
     * @return the choice; its cost is in milliseconds
     */
    TargetChoice of(
            final TargetAnnouncement target,
            final double requests,
            final LoadForecast forecast,
            final FailureDomain from) {
        final int slots = Math.max(1, target.slots());
        final double processingMillis = PLAIN_REQUEST_MILLIS * Math.max(1, (requests + 1.0) / slots);
        final double slowdown = fading ? performance.fadingSlowdown(target.id()) : performance.slowdown(target.id());
        final double failureRate =
                fading ? performance.fadingFailureRate(target.id()) : performance.failureRate(target.id());
        final double cost = permits.expectedWait(TargetStart.of(target)).toMillis()
                + processingMillis * slowdown * forecast.paceFactor()
                + FAILURE_MILLIS * failureRate
                + PLAIN_REQUEST_MILLIS * requests / slots
                + (target.domain().equals(from) ? 0 : OTHER_DOMAIN_MILLIS);
        return new TargetChoice(target, false, cost, processingMillis, cost, forecast, ChoiceKind.LEAST_COST);
    }
}
