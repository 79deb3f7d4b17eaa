package org.balsambank.core.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.serving.fleet.FleetMethods;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.HoldAnswer;
import org.balsambank.protocol.generated.serving.HoldAsk;

/**
 * Controls the targets that this VM has claimed, and forwards requests for adapters at other targets to the VMs that
 * have claimed those.
 *
 * <p>Confined to the decision loop.
 */
public final class Placement implements Component {
    private static final String NOT_CONTROLLED = "no right to give orders";
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(200);
    private static final long CLAIM_INTERVAL_NANOS = Duration.ofMillis(190).toNanos();
    private static final Duration ACTIVE_INTERVAL = Duration.ofMillis(25);
    private static final Duration CALL_TIMEOUT_MARGIN = Duration.ofMillis(100);
    private static final long UNCONTROLLED_NANOS = Duration.ofMillis(400).toNanos();

    private final VmId self;
    private final TargetTable targets;
    private final Claims claims;
    private final Function<ServiceName, Optional<EngineSpec>> engineSpecs;
    private final Supplier<List<VmId>> registeredVms;
    private final TargetOrderClient orderClient;
    private final InFlightRequests inFlight;
    private final ResidencyTable residency;
    private final PeerTransport peers;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetId, TargetController> controllers = new HashMap<>();
    private final Map<TargetId, Long> uncontrolledSince = new HashMap<>();
    private final PublishProcessor<TargetId> demands = PublishProcessor.create();
    private boolean stopped;
    private long lastClaimNanos;

    /**
     * Creates the component and serves the requests of other VMs.
     *
     * @param self this VM
     * @param targets the known targets
     * @param claims which VM controls which target
     * @param engineSpecs the capacity of a service's targets, if they run models
     * @param registeredVms the registered VMs
     * @param orderClient sends orders to targets and reads their status
     * @param inFlight the requests in flight
     * @param residency the adapters and models resident at targets
     * @param peers the transport to the other VMs
     * @param timer the timer service
     * @param log the decision log; gets a line for each order
     */
    public Placement(
            final VmId self,
            final TargetTable targets,
            final Claims claims,
            final Function<ServiceName, Optional<EngineSpec>> engineSpecs,
            final Supplier<List<VmId>> registeredVms,
            final TargetOrderClient orderClient,
            final InFlightRequests inFlight,
            final ResidencyTable residency,
            final PeerTransport peers,
            final TimerService timer,
            final DecisionLog log) {
        this.self = Objects.requireNonNull(self);
        this.targets = Objects.requireNonNull(targets);
        this.claims = Objects.requireNonNull(claims);
        this.engineSpecs = Objects.requireNonNull(engineSpecs);
        this.registeredVms = Objects.requireNonNull(registeredVms);
        this.orderClient = Objects.requireNonNull(orderClient);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.residency = Objects.requireNonNull(residency);
        this.peers = Objects.requireNonNull(peers);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        lastClaimNanos = timer.nanoTime() - CLAIM_INTERVAL_NANOS;
        peers.serve(
                FleetMethods.ENSURE_ADAPTER, (from, request) -> serve(request).toFlowable());
    }

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public Completable run() {
        return Completable.defer(() -> {
                    step();
                    final boolean busy = controllers.values().stream().anyMatch(TargetController::busy);
                    return busy
                            ? timer.after(ACTIVE_INTERVAL)
                            : Completable.ambArray(timer.after(IDLE_INTERVAL), nextDemand());
                })
                .repeat();
    }

    private Completable nextDemand() {
        return demands.firstElement().ignoreElement();
    }

    /** Stops controlling targets, as this VM shuts down. */
    public void stop() {
        stopped = true;
        controllers.values().forEach(TargetController::close);
        controllers.clear();
    }

    /**
     * Requests that an adapter be resident at a target, whichever VM controls the target.
     *
     * @param target the target
     * @param adapter the adapter
     * @param version the minimum version, 0 for any
     * @param missing whether the target has just responded that the adapter is not resident
     * @param wait how long to wait for it
     * @return whether the adapter is resident; never fails
     */
    public Single<ResidencyResult> ensure(
            final TargetAnnouncement target,
            final AdapterKey adapter,
            final long version,
            final boolean missing,
            final Duration wait) {
        final Optional<VmId> holder = claims.holder(ClaimSubject.target(target.id()));
        if (holder.isEmpty()) {
            return Single.just(refuseUncontrolled(target.id(), "no VM controls the target"));
        }
        if (holder.get().equals(self)) {
            return ensureLocally(target.id(), adapter, version, missing, wait);
        }
        final HoldAsk request = HoldAsk.newBuilder()
                .setTarget(target.id().value())
                .setModel(adapter.model().value())
                .setAdapter(adapter.adapter().value())
                .setVersion(version)
                .setMissing(missing)
                .setWaitMillis((int) wait.toMillis())
                .build();
        return peers.call(holder.get(), FleetMethods.ENSURE_ADAPTER, request, wait.plus(CALL_TIMEOUT_MARGIN))
                .map(response -> new ResidencyResult(response.getHeld(), response.getVersion(), response.getReason()))
                .doOnSuccess(result -> recordUncontrolled(target.id(), result))
                .onErrorReturn(error -> refuseUncontrolled(target.id(), holder.get() + ": " + error.getMessage()));
    }

    /**
     * Returns whether the target was recently found to have no reachable controller.
     *
     * @param target the target
     * @return true for a short time after a request failed for that reason
     */
    public boolean uncontrolled(final TargetId target) {
        final Long since = uncontrolledSince.get(target);
        return since != null && timer.nanoTime() - since < UNCONTROLLED_NANOS;
    }

    private ResidencyResult refuseUncontrolled(final TargetId target, final String reason) {
        uncontrolledSince.put(target, timer.nanoTime());
        return ResidencyResult.unavailable(reason);
    }

    private void recordUncontrolled(final TargetId target, final ResidencyResult result) {
        if (result.reason().equals(NOT_CONTROLLED)) {
            uncontrolledSince.put(target, timer.nanoTime());
        }
    }

    /**
     * Returns the targets that this VM controls and whose residency has changed since the last call.
     *
     * @return the targets
     */
    public Set<TargetId> drainChanged() {
        final Set<TargetId> changed = new HashSet<>();
        controllers.forEach((id, controller) -> {
            if (controller.drainChanged()) {
                changed.add(id);
            }
        });
        return changed;
    }

    private Single<ResidencyResult> ensureLocally(
            final TargetId target,
            final AdapterKey adapter,
            final long version,
            final boolean missing,
            final Duration wait) {
        final TargetController controller = controllers.get(target);
        if (controller == null) {
            uncontrolledSince.put(target, timer.nanoTime());
            return Single.just(ResidencyResult.unavailable(NOT_CONTROLLED));
        }
        final Single<ResidencyResult> result = controller.ensure(adapter, version, missing, wait);
        return result.doOnSubscribe(subscription -> demands.onNext(target));
    }

    private Single<HoldAnswer> serve(final HoldAsk request) {
        final AdapterKey adapter =
                new AdapterKey(new BaseModel(request.getModel()), new AdapterId(request.getAdapter()));
        final Duration wait = Duration.ofMillis(request.getWaitMillis());
        return ensureLocally(
                        new TargetId(request.getTarget()), adapter, request.getVersion(), request.getMissing(), wait)
                .map(result -> HoldAnswer.newBuilder()
                        .setHeld(result.resident())
                        .setVersion(result.version())
                        .setReason(result.reason())
                        .build());
    }

    private void step() {
        if (stopped) {
            return;
        }
        final long now = timer.nanoTime();
        if (now - lastClaimNanos >= CLAIM_INTERVAL_NANOS) {
            lastClaimNanos = now;
            claims.claim(targetsToControl().stream().map(ClaimSubject::target).toList(), registeredVms.get());
        }
        removeInvalidControllers();
        for (final TargetId id : targetsToControl()) {
            claims.heldClaim(ClaimSubject.target(id)).ifPresent(claim -> addController(id, claim));
        }
        List.copyOf(controllers.values()).forEach(TargetController::step);
    }

    private List<TargetId> targetsToControl() {
        final List<TargetId> ids = new ArrayList<>();
        for (final TargetState state : targets.all()) {
            if (state.usable(timer.nanoTime())
                    && engineSpec(state.announcement()).isPresent()) {
                ids.add(state.announcement().id());
            }
        }
        return ids;
    }

    private Optional<EngineSpec> engineSpec(final TargetAnnouncement announcement) {
        return engineSpecs.apply(announcement.service());
    }

    private void addController(final TargetId id, final HeldClaim claim) {
        if (controllers.containsKey(id)) {
            return;
        }
        final TargetAnnouncement announcement = targets.find(id).orElseThrow().announcement();
        controllers.put(
                id,
                new TargetController(
                        announcement,
                        claim,
                        () -> engineSpec(announcement),
                        orderClient,
                        inFlight,
                        residency,
                        timer,
                        log));
    }

    private void removeInvalidControllers() {
        controllers.entrySet().removeIf(each -> {
            final TargetController controller = each.getValue();
            final Optional<TargetState> state = targets.find(each.getKey());
            final boolean same = state.isPresent()
                    && state.get().usable(timer.nanoTime())
                    && state.get().announcement().startedMillis()
                            == controller.target().startedMillis();
            if (same && controller.claim().valid()) {
                return false;
            }
            controller.close();
            return true;
        });
    }
}
