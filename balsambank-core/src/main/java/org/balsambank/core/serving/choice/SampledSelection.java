package org.balsambank.core.serving.choice;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.balsambank.core.serving.target.TargetState;

/**
 * Selects the cheapest of a few random candidates.
 *
 * <p>All VMs know about the same figures, which are some hundred milliseconds old. If each took the cheapest of all
 * targets, all would send to the same one until they hear of the queue there. Few random candidates avoid that, and
 * the cost of a choice does not grow with the number of targets. Confined to the decision loop.
 */
final class SampledSelection implements CandidateSelection {
    private final int sample;
    private final RandomGenerator random;

    /**
     * Creates a selection.
     *
     * @param sample the number of candidates that are compared
     * @param random draws the candidates
     */
    SampledSelection(final int sample, final RandomGenerator random) {
        this.sample = sample;
        this.random = Objects.requireNonNull(random);
    }

    @Override
    public Optional<TargetChoice> select(
            final List<TargetState> candidates, final Function<TargetState, Optional<TargetChoice>> estimate) {
        final int size = candidates.size();
        final int[] order = new int[size];
        for (int i = 0; i < size; i++) {
            order[i] = i;
        }
        Optional<TargetChoice> best = Optional.empty();
        int compared = 0;
        for (int i = 0; i < size && compared < sample; i++) {
            final int drawn = i + random.nextInt(size - i);
            final int candidate = order[drawn];
            order[drawn] = order[i];
            final Optional<TargetChoice> choice = estimate.apply(candidates.get(candidate));
            compared += choice.isPresent() ? 1 : 0;
            best = CandidateSelection.cheaper(best, choice);
        }
        return best;
    }
}
