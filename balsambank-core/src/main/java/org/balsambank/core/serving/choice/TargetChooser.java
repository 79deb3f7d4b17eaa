package org.balsambank.core.serving.choice;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.Placement;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.placement.TargetResidency;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.target.RendezvousHash;
import org.balsambank.core.time.TimerService;

/**
 * Chooses the target with the least expected loss.
 *
 * <p>Confined to the decision loop.
 */
public final class TargetChooser {
    private static final double BUSY_PLACES_MILLIS = 1_500;
    private static final double FAILURE_MILLIS = 800;
    private static final double FULL_MILLIS = 400;
    private static final double PLAIN_REQUEST_MILLIS = 60;
    private static final double FAR_MILLIS = 6;
    private static final double FAILURE_LOSS = 0.8;
    private static final double DEAF_LOSS = 5;

    private final TargetTable targets;
    private final InFlightRequests flights;
    private final ResidencyTable holdings;
    private final Placement placement;
    private final TargetPerformance paces;
    private final EngineLatencyModels engines;
    private final ColdTargetLimiter cold;
    private final FailureDomain domain;
    private final TimerService timer;
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param targets the targets
     * @param flights what is under way
     * @param holdings what targets hold
     * @param placement tells to which targets no orders can be given
     * @param paces how slow targets are
     * @param engines how fast targets read prompts
     * @param cold what cold targets bear
     * @param domain the failure domain of this VM
     * @param timer gives the time
     * @param random breaks ties
     */
    public TargetChooser(
            final TargetTable targets,
            final InFlightRequests flights,
            final ResidencyTable holdings,
            final Placement placement,
            final TargetPerformance paces,
            final EngineLatencyModels engines,
            final ColdTargetLimiter cold,
            final FailureDomain domain,
            final TimerService timer,
            final RandomGenerator random) {
        this.targets = Objects.requireNonNull(targets);
        this.flights = Objects.requireNonNull(flights);
        this.holdings = Objects.requireNonNull(holdings);
        this.placement = Objects.requireNonNull(placement);
        this.paces = Objects.requireNonNull(paces);
        this.engines = Objects.requireNonNull(engines);
        this.cold = Objects.requireNonNull(cold);
        this.domain = Objects.requireNonNull(domain);
        this.timer = Objects.requireNonNull(timer);
        this.random = Objects.requireNonNull(random);
    }

    /**
     * Chooses a target.
     *
     * @param wanted what the request needs
     * @param excluded targets that have refused or failed it
     * @return the choice, if any target can take it
     */
    public Optional<TargetChoice> choose(final TargetRequirements wanted, final Set<TargetId> excluded) {
        final long now = timer.nanoTime();
        final List<TargetState> candidates = new ArrayList<>();
        for (final TargetState belief : targets.usable(wanted.service().name())) {
            if (!excluded.contains(belief.entry().id()) && bears(wanted.service(), belief, now)) {
                candidates.add(belief);
            }
        }
        if (wanted.service().engine().isEmpty()) {
            return plain(candidates);
        }
        return engine(wanted, candidates, wanted.service().engine().get());
    }

    /**
     * Tells whether a target that was chosen a moment ago may still get a request.
     *
     * @param service the service of the request
     * @param target the target
     * @return false if it may get nothing, or is cold and has got what it bears
     */
    public boolean takes(final ServiceSpec service, final TargetId target) {
        return targets.usable(target)
                && targets.find(target)
                        .filter(belief -> bears(service, belief, timer.nanoTime()))
                        .isPresent();
    }

    private boolean bears(final ServiceSpec service, final TargetState belief, final long now) {
        final double perSecond = service.coldPerSecond();
        return perSecond <= 0 || !belief.cold(now) || cold.allows(belief.entry().id(), perSecond);
    }

    private Optional<TargetChoice> plain(final List<TargetState> candidates) {
        TargetChoice best = null;
        double least = Double.MAX_VALUE;
        for (final TargetState belief : candidates) {
            final TargetAnnouncement target = belief.entry();
            final InFlightRequests.Usage use = flights.total(target.id());
            final int slots = Math.max(1, target.slots());
            final double read = PLAIN_REQUEST_MILLIS * Math.max(1, (use.requests() + 1.0) / slots);
            final double cost = read * paces.pace(target.id())
                    + FAILURE_MILLIS * paces.failures(target.id())
                    + PLAIN_REQUEST_MILLIS * use.requests() / slots
                    + (target.domain().equals(domain) ? 0 : FAR_MILLIS)
                    + random.nextDouble();
            if (cost < least) {
                least = cost;
                best = new TargetChoice(target, false, cost, read, cost);
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<TargetChoice> engine(
            final TargetRequirements wanted, final List<TargetState> candidates, final EngineSpec spec) {
        final List<TargetState> ordered = wanted.adapter()
                .map(adapter -> byRendezvous(candidates, adapter))
                .orElse(candidates);
        TargetChoice best = null;
        for (int rank = 0; rank < ordered.size(); rank++) {
            final TargetAnnouncement target = ordered.get(rank).entry();
            if (wanted.model().isPresent()
                    && !holdings.holdsModel(target, wanted.model().get())) {
                continue;
            }
            final TargetChoice choice = estimate(wanted, target, spec, rank);
            if (best == null || choice.loss() < best.loss()) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    private TargetChoice estimate(
            final TargetRequirements wanted, final TargetAnnouncement target, final EngineSpec spec, final int rank) {
        final InFlightRequests.Usage use = flights.total(target.id());
        final TargetResidency held = holdings.of(target);
        final boolean there =
                wanted.adapter().isEmpty() || holds(held, wanted.adapter().get());
        final EngineLatencyModel engine = engines.of(wanted.service().name());
        final double read = engine.timeToFirstChunkMillis(use, wanted.promptTokens());
        double load = 0;
        double loss = FAILURE_LOSS * paces.failures(target.id());
        if (!there) {
            final AdapterKey adapter = wanted.adapter().get();
            final boolean atHand = holdings.heldLately(target.id(), adapter);
            load = LoadEstimate.millis(adapter, held, atHand);
            loss += atHand || rank == 0 ? 0 : ExpectedCost.ofFetch();
            if (!hasPlace(target.id(), held, spec)) {
                load += BUSY_PLACES_MILLIS;
            }
            if (placement.deaf(target.id())) {
                loss += DEAF_LOSS;
            }
        }
        double time = load + read * paces.pace(target.id());
        if (use.requests() >= spec.slots()) {
            time += FULL_MILLIS;
        }
        loss += ExpectedCost.ofTime(time, wanted.objectiveMillis())
                + ExpectedCost.ofPauses(use, wanted.promptTokens(), engine, wanted.pauseMillis());
        return new TargetChoice(target, !there, time, read, loss);
    }

    private boolean holds(final TargetResidency held, final AdapterKey adapter) {
        final OptionalLong version = held.version(adapter);
        return version.isPresent() && version.getAsLong() >= holdings.newest(adapter);
    }

    private boolean hasPlace(final TargetId target, final TargetResidency held, final EngineSpec spec) {
        if (held.adapters().size() + held.pending().size() < spec.adapterSlots()) {
            return true;
        }
        for (final AdapterKey each : held.adapters().keySet()) {
            if (!flights.inUse(target, each)) {
                return true;
            }
        }
        return false;
    }

    /** Orders targets so that each VM fetches an adapter at the same one first. */
    private static List<TargetState> byRendezvous(final List<TargetState> candidates, final AdapterKey adapter) {
        final long subject = RendezvousHash.of(adapter.toString());
        return candidates.stream()
                .map(belief -> new Scored(
                        belief,
                        RendezvousHash.score(
                                subject, RendezvousHash.of(belief.entry().id().value()))))
                .sorted(Comparator.comparingLong(Scored::score).reversed())
                .map(Scored::belief)
                .toList();
    }

    /** A target with its score for one adapter. */
    private record Scored(TargetState belief, long score) {}
}
