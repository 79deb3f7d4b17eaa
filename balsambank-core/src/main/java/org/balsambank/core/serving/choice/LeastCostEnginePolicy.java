package org.balsambank.core.serving.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.target.RendezvousHash;

/**
 * Chooses the engine with the lowest expected cost, for targets that report no pace.
 *
 * <p>Confined to the decision loop.
 */
final class LeastCostEnginePolicy implements TargetPolicy {
    private final EngineEstimate estimate;

    /**
     * Creates a policy.
     *
     * @param estimate estimates the cost of a choice
     */
    LeastCostEnginePolicy(final EngineEstimate estimate) {
        this.estimate = Objects.requireNonNull(estimate);
    }

    @Override
    public Optional<TargetChoice> choose(final TargetRequirements required, final List<TargetState> candidates) {
        final EngineSpec spec = required.service().engine().orElseThrow();
        final List<TargetState> ordered = required.adapter()
                .map(adapter -> limitedLast(byRendezvous(candidates, adapter)))
                .orElse(candidates);
        Optional<TargetChoice> best = Optional.empty();
        for (int rank = 0; rank < ordered.size(); rank++) {
            final TargetAnnouncement target = ordered.get(rank).announcement();
            if (estimate.canServe(required, target, spec)) {
                best = CandidateSelection.cheaper(
                        best, Optional.of(estimate.of(required, target, spec, rank == 0, LoadForecast.NONE)));
            }
        }
        return best;
    }

    /**
     * Orders targets by their rendezvous hash for the adapter, so that all VMs prefer to load it at the same target.
     */
    private static List<TargetState> byRendezvous(final List<TargetState> candidates, final AdapterKey adapter) {
        final long adapterHash = RendezvousHash.of(adapter.toString());
        return candidates.stream()
                .map(state -> new Scored(
                        state,
                        RendezvousHash.score(
                                adapterHash,
                                RendezvousHash.of(state.announcement().id().value()))))
                .sorted(Comparator.comparingLong(Scored::score).reversed())
                .map(Scored::state)
                .toList();
    }

    /** Moves targets that limit their requests to the end, so that adapters are loaded at others first. */
    private List<TargetState> limitedLast(final List<TargetState> ordered) {
        return ordered.stream()
                .sorted(Comparator.comparing(state -> estimate.limited(state.announcement())))
                .toList();
    }

    /** A target with its score for one adapter. */
    private record Scored(TargetState state, long score) {}
}
