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
 * Keeps the targets that this VM has claimed, and passes wishes for adapters to the VMs that have claimed the others.
 *
 * <p>Confined to the decision loop.
 */
public final class Placement implements Component {
    private static final String NO_RIGHT = "no right to give orders";
    private static final Duration IDLE_STEP = Duration.ofMillis(200);
    private static final long CLAIM_NANOS = Duration.ofMillis(190).toNanos();
    private static final Duration STEP = Duration.ofMillis(25);
    private static final Duration MARGIN = Duration.ofMillis(100);
    private static final long DEAF_NANOS = Duration.ofMillis(400).toNanos();

    private final VmId self;
    private final TargetTable targets;
    private final TargetClaims claims;
    private final Function<ServiceName, Optional<EngineSpec>> engines;
    private final Supplier<List<VmId>> vms;
    private final TargetOrderClient orders;
    private final InFlightRequests flights;
    private final ResidencyTable holdings;
    private final PeerTransport peers;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<TargetId, TargetController> keepers = new HashMap<>();
    private final Map<TargetId, Long> deafSince = new HashMap<>();
    private final PublishProcessor<TargetId> wishes = PublishProcessor.create();
    private boolean stopped;
    private long claimedNanos;

    /**
     * Creates a placement and answers the other VMs.
     *
     * @param self this VM
     * @param targets the targets
     * @param claims who gives orders to which target
     * @param engines what the targets of a service bear, if they run models
     * @param vms the registered VMs
     * @param orders speaks to targets
     * @param flights what is under way
     * @param holdings what targets hold
     * @param peers the links to the other VMs
     * @param timer gives the time
     * @param log takes a line for each order
     */
    public Placement(
            final VmId self,
            final TargetTable targets,
            final TargetClaims claims,
            final Function<ServiceName, Optional<EngineSpec>> engines,
            final Supplier<List<VmId>> vms,
            final TargetOrderClient orders,
            final InFlightRequests flights,
            final ResidencyTable holdings,
            final PeerTransport peers,
            final TimerService timer,
            final DecisionLog log) {
        this.self = Objects.requireNonNull(self);
        this.targets = Objects.requireNonNull(targets);
        this.claims = Objects.requireNonNull(claims);
        this.engines = Objects.requireNonNull(engines);
        this.vms = Objects.requireNonNull(vms);
        this.orders = Objects.requireNonNull(orders);
        this.flights = Objects.requireNonNull(flights);
        this.holdings = Objects.requireNonNull(holdings);
        this.peers = Objects.requireNonNull(peers);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        claimedNanos = timer.nanoTime() - CLAIM_NANOS;
        peers.serve(FleetMethods.HOLD, (from, ask) -> answer(ask).toFlowable());
    }

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public Completable run() {
        return Completable.defer(() -> {
                    step();
                    final boolean busy = keepers.values().stream().anyMatch(TargetController::busy);
                    return busy ? timer.after(STEP) : Completable.ambArray(timer.after(IDLE_STEP), wished());
                })
                .repeat();
    }

    private Completable wished() {
        return wishes.firstElement().ignoreElement();
    }

    /** Gives no more orders, as this VM stops. */
    public void stop() {
        stopped = true;
        keepers.values().forEach(TargetController::close);
        keepers.clear();
    }

    /**
     * Wishes an adapter at a target, whoever gives orders there.
     *
     * @param target the target
     * @param adapter the adapter
     * @param version the least version, 0 for any
     * @param missing whether the target has just said that it does not hold it
     * @param wait how long the wish lasts
     * @return whether the target holds it; never fails
     */
    public Single<ResidencyResult> ensure(
            final TargetAnnouncement target,
            final AdapterKey adapter,
            final long version,
            final boolean missing,
            final Duration wait) {
        final Optional<VmId> holder = claims.holder(target.id());
        if (holder.isEmpty()) {
            return Single.just(deaf(target.id(), "nobody gives orders there"));
        }
        if (holder.get().equals(self)) {
            return own(target.id(), adapter, version, missing, wait);
        }
        final HoldAsk ask = HoldAsk.newBuilder()
                .setTarget(target.id().value())
                .setModel(adapter.model().value())
                .setAdapter(adapter.adapter().value())
                .setVersion(version)
                .setMissing(missing)
                .setWaitMillis((int) wait.toMillis())
                .build();
        return peers.call(holder.get(), FleetMethods.HOLD, ask, wait.plus(MARGIN))
                .map(answer -> new ResidencyResult(answer.getHeld(), answer.getVersion(), answer.getReason()))
                .doOnSuccess(hold -> noteDeaf(target.id(), hold))
                .onErrorReturn(error -> deaf(target.id(), holder.get() + ": " + error.getMessage()));
    }

    /**
     * Tells whether nobody could give orders to a target a moment ago.
     *
     * @param target the target
     * @return true for a while after a wish was refused for that
     */
    public boolean deaf(final TargetId target) {
        final Long since = deafSince.get(target);
        return since != null && timer.nanoTime() - since < DEAF_NANOS;
    }

    private ResidencyResult deaf(final TargetId target, final String reason) {
        deafSince.put(target, timer.nanoTime());
        return ResidencyResult.refused(reason);
    }

    private void noteDeaf(final TargetId target, final ResidencyResult hold) {
        if (hold.reason().equals(NO_RIGHT)) {
            deafSince.put(target, timer.nanoTime());
        }
    }

    /**
     * Returns the targets to which this VM gives orders and whose holding has changed since the last call.
     *
     * @return the targets
     */
    public Set<TargetId> takeChanged() {
        final Set<TargetId> changed = new HashSet<>();
        keepers.forEach((id, keeper) -> {
            if (keeper.takeChanged()) {
                changed.add(id);
            }
        });
        return changed;
    }

    private Single<ResidencyResult> own(
            final TargetId target,
            final AdapterKey adapter,
            final long version,
            final boolean missing,
            final Duration wait) {
        final TargetController keeper = keepers.get(target);
        if (keeper == null) {
            deafSince.put(target, timer.nanoTime());
            return Single.just(ResidencyResult.refused(NO_RIGHT));
        }
        final Single<ResidencyResult> hold = keeper.ensure(adapter, version, missing, wait);
        return hold.doOnSubscribe(subscription -> wishes.onNext(target));
    }

    private Single<HoldAnswer> answer(final HoldAsk ask) {
        final AdapterKey adapter = new AdapterKey(new BaseModel(ask.getModel()), new AdapterId(ask.getAdapter()));
        final Duration wait = Duration.ofMillis(ask.getWaitMillis());
        return own(new TargetId(ask.getTarget()), adapter, ask.getVersion(), ask.getMissing(), wait)
                .map(hold -> HoldAnswer.newBuilder()
                        .setHeld(hold.held())
                        .setVersion(hold.version())
                        .setReason(hold.reason())
                        .build());
    }

    private void step() {
        if (stopped) {
            return;
        }
        final long now = timer.nanoTime();
        if (now - claimedNanos >= CLAIM_NANOS) {
            claimedNanos = now;
            claims.claim(needOrders(), vms.get());
        }
        drop();
        for (final TargetId id : needOrders()) {
            claims.right(id).ifPresent(right -> keeper(id, right));
        }
        List.copyOf(keepers.values()).forEach(TargetController::step);
    }

    private List<TargetId> needOrders() {
        final List<TargetId> ids = new ArrayList<>();
        for (final TargetState belief : targets.all()) {
            if (belief.usable(timer.nanoTime()) && engine(belief.entry()).isPresent()) {
                ids.add(belief.entry().id());
            }
        }
        return ids;
    }

    private Optional<EngineSpec> engine(final TargetAnnouncement entry) {
        return engines.apply(entry.service());
    }

    private void keeper(final TargetId id, final HeldClaim right) {
        if (keepers.containsKey(id)) {
            return;
        }
        final TargetAnnouncement entry = targets.find(id).orElseThrow().entry();
        keepers.put(id, new TargetController(entry, right, () -> engine(entry), orders, flights, holdings, timer, log));
    }

    private void drop() {
        keepers.entrySet().removeIf(each -> {
            final TargetController keeper = each.getValue();
            final Optional<TargetState> belief = targets.find(each.getKey());
            final boolean same = belief.isPresent()
                    && belief.get().usable(timer.nanoTime())
                    && belief.get().entry().startedMillis() == keeper.target().startedMillis();
            if (same && keeper.right().valid()) {
                return false;
            }
            keeper.close();
            return true;
        });
    }
}
