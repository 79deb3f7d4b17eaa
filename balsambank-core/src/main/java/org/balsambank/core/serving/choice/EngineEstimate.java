package org.balsambank.core.serving.choice;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.load.LoadForecast;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.placement.ResidencyTable;
import org.balsambank.core.serving.placement.TargetOccupancy;
import org.balsambank.core.serving.placement.TargetResidency;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetPerformance;
import org.balsambank.core.serving.target.TargetStart;

/**
 * Estimates the expected cost of a request at an engine.
 *
 * <p>Confined to the decision loop.
 */
final class EngineEstimate {
    private static final double NO_ROOM_MILLIS = 1_500;
    private static final double FULL_TARGET_MILLIS = 400;
    private static final double FAILURE_COST = 0.8;
    private static final double UNCONTROLLED_COST = 5;
    /** A target that does not respond to the VM that controls it may still respond to this one. */
    private static final double UNRESPONSIVE_COST = 0.8;
    /** Orders to a target are sent one after another; each that is in progress delays the next by about this. */
    private static final double ORDER_MILLIS = 60;
    /** An engine that has this many requests waiting turns the next ones away. */
    private static final double LONG_QUEUE = 4;

    private final UsageView usages;
    private final InFlightRequests inFlight;
    private final ResidencyTable residency;
    private final Predicate<TargetId> uncontrolled;
    private final TargetPerformance performance;
    private final EngineLatencyModels latencyModels;
    private final SendPermits permits;
    private final Optional<AdapterWaits> waits;

    /**
     * Creates an estimate.
     *
     * @param usages the requests in flight on which estimates are based
     * @param inFlight the adapters in use
     * @param residency the adapters and models resident at targets
     * @param uncontrolled returns whether a target has no reachable controller
     * @param performance the measured slowdown and failure rate of targets
     * @param latencyModels the latency models of the services
     * @param permits how long requests wait for targets that limit their requests
     * @param waits what is known of waits for adapters, empty for estimates without it
     */
    EngineEstimate(
            final UsageView usages,
            final InFlightRequests inFlight,
            final ResidencyTable residency,
            final Predicate<TargetId> uncontrolled,
            final TargetPerformance performance,
            final EngineLatencyModels latencyModels,
            final SendPermits permits,
            final Optional<AdapterWaits> waits) {
        this.usages = Objects.requireNonNull(usages);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.residency = Objects.requireNonNull(residency);
        this.uncontrolled = Objects.requireNonNull(uncontrolled);
        this.performance = Objects.requireNonNull(performance);
        this.latencyModels = Objects.requireNonNull(latencyModels);
        this.permits = Objects.requireNonNull(permits);
        this.waits = Objects.requireNonNull(waits);
    }

    /** Returns whether a target holds the base model that a request names, and the adapter or room for it beside it. */
    boolean canServe(final TargetRequirements required, final TargetAnnouncement target, final EngineSpec spec) {
        if (required.model().isEmpty()) {
            return true;
        }
        return residency.hasModel(target, required.model().get())
                && (resident(required, target)
                        || new TargetOccupancy(spec, residency.models(target))
                                .fits(required.adapter().get()));
    }

    /** Returns whether no adapter must be loaded at a target for a request. */
    boolean resident(final TargetRequirements required, final TargetAnnouncement target) {
        return required.adapter().isEmpty()
                || hasLatestVersion(residency.of(target), required.adapter().get());
    }

    /** Returns whether the adapter of a request is on its way to a target, as far as this VM has chosen it for that. */
    boolean expected(final TargetRequirements required, final TargetAnnouncement target) {
        return required.adapter().isPresent()
                && usages.adapters(target.id()).contains(required.adapter().get());
    }

    /** Returns whether adapters should be loaded elsewhere, as the target does not respond or loads take too long. */
    boolean avoided(final TargetAnnouncement target) {
        return !residency.of(target).responsive()
                || waits.isPresent() && waits.get().avoided(target.id());
    }

    /** Returns whether a target limits its requests. */
    boolean limited(final TargetAnnouncement target) {
        return permits.needed(TargetStart.of(target));
    }

    /**
     * Estimates a choice.
     *
     * @param required what the request needs
     * @param target the target
     * @param spec the engines of its service
     * @param home whether the target is where all VMs prefer to load the adapter
     * @param forecast what the target's report lets expect of it
     * @return the choice
     */
    TargetChoice of(
            final TargetRequirements required,
            final TargetAnnouncement target,
            final EngineSpec spec,
            final boolean home,
            final LoadForecast forecast) {
        final InFlightRequests.Usage usage = usages.total(target.id());
        final TargetResidency residencyAtTarget = residency.of(target);
        final boolean resident = required.adapter().isEmpty()
                || hasLatestVersion(residencyAtTarget, required.adapter().get());
        final EngineLatencyModel latencyModel =
                latencyModels.of(required.service().name());
        final double processingMillis = latencyModel.timeToFirstChunkMillis(usage, required.promptTokens());
        double loadMillis = 0;
        double cost = FAILURE_COST
                * (waits.isPresent()
                        ? performance.fadingFailureRate(target.id())
                        : performance.failureRate(target.id()));
        if (!resident) {
            final AdapterKey adapter = required.adapter().get();
            final boolean localCopy = residency.recentlyResident(target.id(), adapter);
            final boolean expected = usages.adapters(target.id()).contains(adapter);
            loadMillis = loadMillis(target.id(), adapter, residencyAtTarget, localCopy, expected);
            cost += localCopy || home || expected ? 0 : ExpectedCost.ofLoad();
            if (waits.isPresent() && waits.get().avoided(target.id())) {
                cost += UNCONTROLLED_COST;
            }
            if (!expected && !hasRoom(target, adapter, residencyAtTarget, spec)) {
                loadMillis += NO_ROOM_MILLIS;
            }
            if (uncontrolled.test(target.id()) || !residencyAtTarget.responsive()) {
                cost += UNCONTROLLED_COST;
            }
        }
        if (!residencyAtTarget.responsive()) {
            cost += UNRESPONSIVE_COST;
        }
        double totalMillis = permits.expectedWait(TargetStart.of(target)).toMillis()
                + loadMillis
                + processingMillis * slowdown(target.id()) * forecast.paceFactor()
                + FULL_TARGET_MILLIS * Math.min(1, forecast.waiting() / LONG_QUEUE);
        if (usage.requests() >= spec.slots()) {
            totalMillis += FULL_TARGET_MILLIS;
        }
        cost += ExpectedCost.ofTime(totalMillis, required.remainingFirstChunkMillis())
                + ExpectedCost.ofPauses(usage, required.promptTokens(), latencyModel, required.maxEventGapMillis());
        return new TargetChoice(
                target, !resident, totalMillis, processingMillis, cost, forecast, ChoiceKind.LEAST_COST);
    }

    private double slowdown(final TargetId target) {
        return waits.isPresent() ? performance.fadingSlowdown(target) : performance.slowdown(target);
    }

    private double loadMillis(
            final TargetId target,
            final AdapterKey adapter,
            final TargetResidency residencyAtTarget,
            final boolean localCopy,
            final boolean expected) {
        if (expected) {
            return LoadEstimate.PENDING_MILLIS;
        }
        final double usual = LoadEstimate.millis(adapter, residencyAtTarget, localCopy);
        if (waits.isEmpty() || residencyAtTarget.pending().contains(adapter)) {
            return usual;
        }
        final double unlikeUsual = localCopy ? 0 : waits.get().loadMillis() - LoadEstimate.FROM_STORE_MILLIS;
        return usual
                + unlikeUsual
                + ORDER_MILLIS * coming(target, residencyAtTarget).size();
    }

    /** Returns the adapters that are requested or being loaded at a target, as far as this VM knows. */
    private List<AdapterKey> coming(final TargetId target, final TargetResidency residencyAtTarget) {
        final List<AdapterKey> coming = new ArrayList<>(residencyAtTarget.pending());
        for (final AdapterKey each : usages.adapters(target)) {
            if (!residencyAtTarget.pending().contains(each)
                    && !residencyAtTarget.adapters().containsKey(each)) {
                coming.add(each);
            }
        }
        return coming;
    }

    private boolean hasLatestVersion(final TargetResidency residencyAtTarget, final AdapterKey adapter) {
        final OptionalLong version = residencyAtTarget.version(adapter);
        return version.isPresent() && version.getAsLong() >= residency.latestVersion(adapter);
    }

    private boolean hasRoom(
            final TargetAnnouncement target,
            final AdapterKey adapter,
            final TargetResidency residencyAtTarget,
            final EngineSpec spec) {
        final TargetOccupancy occupancy = new TargetOccupancy(spec, residency.models(target));
        residencyAtTarget.adapters().keySet().forEach(occupancy::add);
        coming(target.id(), residencyAtTarget).forEach(occupancy::add);
        if (occupancy.fits(adapter)) {
            return true;
        }
        for (final AdapterKey each : residencyAtTarget.adapters().keySet()) {
            if (!inFlight.inUse(target.id(), each)
                    && !usages.adapters(target.id()).contains(each)) {
                return true;
            }
        }
        return false;
    }
}
