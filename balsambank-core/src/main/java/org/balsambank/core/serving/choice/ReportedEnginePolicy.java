package org.balsambank.core.serving.choice;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.target.RendezvousHash;
import org.balsambank.core.time.TimerService;

/**
 * Chooses an engine by its expected cost and by the load that it has reported, among a few candidates.
 *
 * <p>Candidates for a request with an adapter are some targets at which it is resident, and some of its homes: the
 * first targets by rendezvous hash, more of them the more requests name the adapter. So requests stay with resident
 * adapters, and all VMs load a hot adapter at the same targets. Confined to the decision loop.
 */
final class ReportedEnginePolicy implements TargetPolicy {
    private final EngineEstimate estimate;
    private final ReportedLoads loads;
    private final CandidateSelection selection;
    private final TimerService timer;
    private final Map<ServiceName, AdapterShares> shares = new HashMap<>();

    /**
     * Creates a policy.
     *
     * @param estimate estimates the cost of a choice
     * @param loads the loads that targets have reported
     * @param selection selects among the candidates
     * @param timer the timer service
     */
    ReportedEnginePolicy(
            final EngineEstimate estimate,
            final ReportedLoads loads,
            final CandidateSelection selection,
            final TimerService timer) {
        this.estimate = Objects.requireNonNull(estimate);
        this.loads = Objects.requireNonNull(loads);
        this.selection = Objects.requireNonNull(selection);
        this.timer = Objects.requireNonNull(timer);
    }

    @Override
    public Optional<TargetChoice> choose(final TargetRequirements required, final List<TargetState> candidates) {
        final EngineSpec spec = required.service().engine().orElseThrow();
        if (required.adapter().isEmpty()) {
            return selection.select(candidates, state -> of(required, state, spec, false));
        }
        final AdapterKey adapter = required.adapter().get();
        final AdapterShares serviceShares =
                shares.computeIfAbsent(required.service().name(), ignored -> new AdapterShares(timer));
        serviceShares.record(adapter, required.promptTokens());
        final long adapterHash = RendezvousHash.of(adapter.toString());
        final Homes homes = new Homes(serviceShares.homes(adapter, candidates.size()));
        final List<TargetState> resident = new ArrayList<>();
        for (final TargetState state : candidates) {
            final TargetAnnouncement target = state.announcement();
            if (!estimate.canServe(required, target, spec)) {
                continue;
            }
            if (estimate.resident(required, target) || estimate.expected(required, target)) {
                resident.add(state);
            }
            if (!estimate.limited(target) && !estimate.avoided(target)) {
                homes.add(
                        state,
                        RendezvousHash.score(
                                adapterHash, RendezvousHash.of(target.id().value())));
            }
        }
        final List<TargetState> preferred = homes.preferred();
        final Optional<TargetChoice> choice = CandidateSelection.cheaper(
                selection.select(resident, state -> of(required, state, spec, preferred.contains(state))),
                selection.select(preferred, state -> of(required, state, spec, true)));
        final Optional<TargetChoice> withSpare = homes.spare()
                .map(spare -> CandidateSelection.cheaper(choice, of(required, spare, spec, false)))
                .orElse(choice);
        // All of them may be avoided or limit their requests.
        return withSpare.isPresent()
                ? withSpare
                : selection.select(candidates, state -> of(required, state, spec, false));
    }

    private Optional<TargetChoice> of(
            final TargetRequirements required, final TargetState state, final EngineSpec spec, final boolean home) {
        final TargetAnnouncement target = state.announcement();
        if (!estimate.canServe(required, target, spec)) {
            return Optional.empty();
        }
        return Optional.of(estimate.of(required, target, spec, home, LoadForecast.of(loads.of(target.id()))));
    }

    /**
     * The targets with the highest scores, without sorting all of them.
     *
     * <p>Invariant: the scores are in descending order.
     */
    private static final class Homes {
        private final TargetState[] states;
        private final long[] scores;
        private int size;

        /** Creates an instance that keeps some homes and one spare, where the adapter is loaded if they are busy. */
        Homes(final int homes) {
            states = new TargetState[homes + 1];
            scores = new long[homes + 1];
        }

        void add(final TargetState state, final long score) {
            if (size == states.length && score <= scores[size - 1]) {
                return;
            }
            int place = size < states.length ? size++ : size - 1;
            for (; place > 0 && scores[place - 1] < score; place--) {
                states[place] = states[place - 1];
                scores[place] = scores[place - 1];
            }
            states[place] = state;
            scores[place] = score;
        }

        List<TargetState> preferred() {
            return Arrays.asList(states).subList(0, Math.min(size, states.length - 1));
        }

        Optional<TargetState> spare() {
            return size == states.length ? Optional.of(states[size - 1]) : Optional.empty();
        }
    }
}
