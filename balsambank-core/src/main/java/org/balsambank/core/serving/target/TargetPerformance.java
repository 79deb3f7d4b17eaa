package org.balsambank.core.serving.target;

import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.TargetId;

/**
 * How slow targets are against their estimates, and how often they fail.
 *
 * <p>Answers the load pattern of slow and grey targets: those whose announcements are good while their work is not.
 * Confined to the decision loop.
 */
public final class TargetPerformance {
    private static final double PACE_WEIGHT = 0.25;
    private static final double FAILURE_WEIGHT = 0.15;
    private static final double MIN_PACE = 0.5;
    private static final double MAX_PACE = 10;

    private final Map<TargetId, Record> records = new HashMap<>();

    /** Creates an empty book. */
    public TargetPerformance() {}

    /**
     * Notes how long a first piece took.
     *
     * @param target the target
     * @param estimateMillis the estimate when the request was sent, without the pace
     * @param actualMillis the time it took
     */
    public void firstPiece(final TargetId target, final double estimateMillis, final double actualMillis) {
        if (estimateMillis <= 0) {
            return;
        }
        final double ratio = Math.min(MAX_PACE, Math.max(MIN_PACE, actualMillis / estimateMillis));
        final Record known = records.computeIfAbsent(target, ignored -> new Record());
        known.pace += PACE_WEIGHT * (ratio - known.pace);
    }

    /**
     * Notes the end of a request.
     *
     * @param target the target
     * @param failed whether the target failed it
     */
    public void ended(final TargetId target, final boolean failed) {
        final Record known = records.computeIfAbsent(target, ignored -> new Record());
        known.failures += FAILURE_WEIGHT * ((failed ? 1 : 0) - known.failures);
    }

    /**
     * Forgets a target that has started again.
     *
     * @param target the target
     */
    public void forget(final TargetId target) {
        records.remove(target);
    }

    /**
     * Returns the pace.
     *
     * @param target the target
     * @return the time that it takes, in shares of the estimate
     */
    public double pace(final TargetId target) {
        final Record known = records.get(target);
        return known == null ? 1 : known.pace;
    }

    /**
     * Returns the share of failures.
     *
     * @param target the target
     * @return from 0 to 1
     */
    public double failures(final TargetId target) {
        final Record known = records.get(target);
        return known == null ? 0 : known.failures;
    }

    /** The record of one target. */
    private static final class Record {
        private double pace = 1;
        private double failures;
    }
}
