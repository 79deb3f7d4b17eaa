package org.balsambank.core.serving.choice;

import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * The target chosen for a request, with the estimates behind the choice.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target
 * @param needsLoad whether the adapter must be loaded there first
 * @param estimateMillis the estimated time to the first chunk, including loads
 * @param processingMillis the part of it that the target needs for the request itself, at its usual pace and without
 *     its slowdown
 * @param cost the expected cost of the choice
 * @param forecast what the load that the target has reported lets expect of it
 * @param kind how the target was chosen
 */
public record TargetChoice(
        TargetAnnouncement target,
        boolean needsLoad,
        double estimateMillis,
        double processingMillis,
        double cost,
        LoadForecast forecast,
        ChoiceKind kind) {
    /** Returns the choice with a time added to its estimate and its cost, for costs in milliseconds. */
    TargetChoice withAddedMillis(final double millis) {
        return new TargetChoice(
                target, needsLoad, estimateMillis + millis, processingMillis, cost + millis, forecast, kind);
    }

    /** Returns the choice with the estimate of another VM. */
    TargetChoice withEstimate(final double millis) {
        return new TargetChoice(target, needsLoad, millis, processingMillis, cost, forecast, kind);
    }

    /** Returns the choice with the way in which it was made. */
    TargetChoice withKind(final ChoiceKind newKind) {
        return new TargetChoice(target, needsLoad, estimateMillis, processingMillis, cost, forecast, newKind);
    }
}
