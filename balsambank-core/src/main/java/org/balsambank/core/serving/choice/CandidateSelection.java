package org.balsambank.core.serving.choice;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.balsambank.core.serving.target.TargetState;

/**
 * Selects one of several equivalent targets.
 *
 * <p>Confined to the decision loop.
 */
@FunctionalInterface
interface CandidateSelection {
    /**
     * Selects a target.
     *
     * @param candidates the targets
     * @param estimate estimates a choice; empty if the target cannot take the request
     * @return the choice, empty if no target can take the request
     */
    Optional<TargetChoice> select(List<TargetState> candidates, Function<TargetState, Optional<TargetChoice>> estimate);

    /**
     * Selects the candidate with the lowest cost.
     *
     * @param candidates the targets
     * @param estimate estimates a choice
     * @return the choice, empty if no target can take the request
     */
    static Optional<TargetChoice> leastCost(
            final List<TargetState> candidates, final Function<TargetState, Optional<TargetChoice>> estimate) {
        Optional<TargetChoice> best = Optional.empty();
        for (final TargetState each : candidates) {
            best = cheaper(best, estimate.apply(each));
        }
        return best;
    }

    /**
     * Returns the choice with the lower cost.
     *
     * @param one a choice, returned if the costs are equal
     * @param other another choice
     * @return the cheaper one of those present
     */
    static Optional<TargetChoice> cheaper(final Optional<TargetChoice> one, final Optional<TargetChoice> other) {
        if (one.isEmpty()) {
            return other;
        }
        return other.isPresent() && other.get().cost() < one.get().cost() ? other : one;
    }
}
