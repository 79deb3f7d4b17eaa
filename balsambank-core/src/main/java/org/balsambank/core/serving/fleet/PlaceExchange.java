package org.balsambank.core.serving.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerTransport;
import org.balsambank.core.serving.choice.PlaceKeeper;
import org.balsambank.core.serving.choice.TargetRequirements;
import org.balsambank.core.serving.load.LoadReport;
import org.balsambank.core.serving.load.ReportedLoads;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.PlaceAnswer;
import org.balsambank.protocol.generated.serving.PlaceAsk;
import org.balsambank.protocol.generated.serving.PlaceUpdate;
import org.balsambank.protocol.generated.serving.TargetLoadReport;

/**
 * Gets places for requests from the VM that keeps the places of their service.
 *
 * <p>The keeper is the first registered VM for the service. A VM that gets no answer in a few milliseconds chooses by
 * itself, and does not ask that keeper again for a while. Confined to the decision loop.
 */
public final class PlaceExchange {
    /** A round trip inside the region takes 1 to 2 ms; the rest is for a keeper that is busy. */
    private static final Duration TIMEOUT = Duration.ofMillis(12);

    private static final Duration UPDATE_TIMEOUT = Duration.ofMillis(200);
    private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(200).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(2).toNanos();

    private final PeerTransport peers;
    private final FleetMembers members;
    private final PlaceKeeper keeper;
    private final ReportedLoads loads;
    private final Function<ServiceName, Optional<ServiceSpec>> services;
    private final TimerService timer;
    private final Map<VmId, Backoff> backoffs = new HashMap<>();

    /**
     * Creates the exchange and serves the requests of other VMs.
     *
     * @param peers the transport to the other VMs
     * @param members the registered VMs
     * @param keeper grants places of the services that this VM keeps
     * @param loads the loads that targets have reported
     * @param services finds a service of the plan in force
     * @param timer the timer service
     */
    public PlaceExchange(
            final PeerTransport peers,
            final FleetMembers members,
            final PlaceKeeper keeper,
            final ReportedLoads loads,
            final Function<ServiceName, Optional<ServiceSpec>> services,
            final TimerService timer) {
        this.peers = Objects.requireNonNull(peers);
        this.members = Objects.requireNonNull(members);
        this.keeper = Objects.requireNonNull(keeper);
        this.loads = Objects.requireNonNull(loads);
        this.services = Objects.requireNonNull(services);
        this.timer = Objects.requireNonNull(timer);
        peers.serve(FleetMethods.PLACE, (from, ask) -> Flowable.fromCallable(() -> serve(ask)));
    }

    /**
     * Returns the VM to ask for a place.
     *
     * @param service the service of the request
     * @return the keeper, empty if its targets report no pace or the keeper has not answered lately
     */
    public Optional<VmId> keeperOf(final ServiceName service) {
        if (!loads.active(service)) {
            return Optional.empty();
        }
        final VmId vm = members.firstFor(subject(service));
        final Backoff backoff = backoffs.get(vm);
        return backoff != null && timer.nanoTime() - backoff.untilNanos < 0 ? Optional.empty() : Optional.of(vm);
    }

    private static String subject(final ServiceName service) {
        return "places/" + service.value();
    }

    /**
     * Returns whether a VM is this one.
     *
     * @param vm the VM
     * @return true if it can be asked without a call
     */
    public boolean isSelf(final VmId vm) {
        return vm.equals(members.self());
    }

    /**
     * Grants a place of a service that this VM keeps.
     *
     * @param required what the request needs
     * @param excluded the targets that have refused or failed the request
     * @param remaining the time until the deadline of the request
     * @return the place, empty if there is none
     */
    public Optional<Grant> grantHere(
            final TargetRequirements required, final Set<TargetId> excluded, final Duration remaining) {
        return keeper.grant(required, excluded, remaining)
                .map(place -> new Grant(
                        members.self(),
                        place.id(),
                        place.choice().target().id(),
                        place.choice().estimateMillis()));
    }

    /**
     * Asks another VM for a place.
     *
     * @param vm the keeper
     * @param required what the request needs
     * @param excluded the targets that have refused or failed the request
     * @param remaining the time until the deadline of the request
     * @return the place, empty if there is none or no answer in time; never fails
     */
    public Single<Optional<Grant>> ask(
            final VmId vm, final TargetRequirements required, final Set<TargetId> excluded, final Duration remaining) {
        final PlaceAsk.Builder ask = PlaceAsk.newBuilder()
                .setService(required.service().name().value())
                .setModel(required.model().map(BaseModel::value).orElse(""))
                .setAdapter(required.adapter().map(AdapterKey::toString).orElse(""))
                .setPromptTokens(required.promptTokens())
                .setOutputTokens(required.outputTokens())
                .setObjectiveMillis(millis(required.remainingFirstChunkMillis()))
                .setGapMillis(millis(required.maxEventGapMillis()))
                .setRemainingMillis(millis(remaining.toMillis()));
        excluded.forEach(target -> ask.addExcluded(target.value()));
        final long latestNanos = timer.nanoTime() + 2 * TIMEOUT.toNanos();
        return peers.call(vm, FleetMethods.PLACE, ask.build(), TIMEOUT)
                .map(answer -> granted(vm, answer, latestNanos))
                .doOnError(error -> backOff(vm))
                .onErrorReturn(error -> Optional.empty());
    }

    private Optional<Grant> granted(final VmId vm, final PlaceAnswer answer, final long latestNanos) {
        backoffs.remove(vm);
        if (answer.hasLoad()) {
            learn(answer.getLoad());
        }
        if (answer.getTarget().isEmpty()) {
            return Optional.empty();
        }
        final Grant grant =
                new Grant(vm, answer.getPlace(), new TargetId(answer.getTarget()), answer.getEstimateMillis());
        if (timer.nanoTime() - latestNanos > 0) {
            // This VM was suspended: what the keeper knew is old.
            end(grant);
            return Optional.empty();
        }
        return Optional.of(grant);
    }

    private void backOff(final VmId vm) {
        final Backoff previous = backoffs.get(vm);
        final long nanos = previous == null ? MIN_BACKOFF_NANOS : Math.min(MAX_BACKOFF_NANOS, 2 * previous.lengthNanos);
        backoffs.put(vm, new Backoff(timer.nanoTime() + nanos, nanos));
    }

    /**
     * Tells the keeper that the target has processed the prompt of a request.
     *
     * @param grant the place of the request
     */
    public void promptRead(final Grant grant) {
        if (isSelf(grant.keeper())) {
            keeper.promptRead(grant.place());
        } else {
            update(grant, PlaceUpdate.newBuilder());
        }
    }

    /**
     * Tells the keeper that an adapter was not loaded in time for a request, and that its place is free again.
     *
     * @param grant the place
     */
    public void loadFailed(final Grant grant) {
        if (isSelf(grant.keeper())) {
            keeper.loadFailed(grant.place());
        } else {
            update(grant, PlaceUpdate.newBuilder().setEnded(true).setLoadFailed(true));
        }
    }

    /**
     * Tells the keeper that a place is free again, and what its target has reported.
     *
     * @param grant the place
     */
    public void end(final Grant grant) {
        if (isSelf(grant.keeper())) {
            keeper.end(grant.place());
        } else {
            update(grant, PlaceUpdate.newBuilder().setEnded(true));
        }
    }

    private void update(final Grant grant, final PlaceUpdate.Builder update) {
        update.setPlace(grant.place());
        loads.of(grant.target()).ifPresent(report -> update.setLoad(DigestCodec.load(report)));
        peers.call(
                        grant.keeper(),
                        FleetMethods.PLACE,
                        PlaceAsk.newBuilder().addUpdates(update).build(),
                        UPDATE_TIMEOUT)
                .subscribe(answer -> {}, error -> {});
    }

    private PlaceAnswer serve(final PlaceAsk ask) {
        for (final PlaceUpdate update : ask.getUpdatesList()) {
            if (update.hasLoad()) {
                learn(update.getLoad());
            }
            if (update.getLoadFailed()) {
                keeper.loadFailed(update.getPlace());
            } else if (update.getEnded()) {
                keeper.end(update.getPlace());
            } else {
                keeper.promptRead(update.getPlace());
            }
        }
        if (ask.getService().isEmpty()) {
            return PlaceAnswer.getDefaultInstance();
        }
        final ServiceName service = new ServiceName(ask.getService());
        if (!members.isFirstFor(subject(service)) || !loads.active(service)) {
            return PlaceAnswer.getDefaultInstance();
        }
        return services.apply(service)
                .flatMap(spec -> keeper.grant(
                        required(spec, ask), excluded(ask), Duration.ofMillis(Math.max(0, ask.getRemainingMillis()))))
                .map(this::answer)
                .orElse(PlaceAnswer.getDefaultInstance());
    }

    private void learn(final TargetLoadReport report) {
        final LoadReport decoded = DigestCodec.load(report);
        if (loads.recordReport(decoded)) {
            loads.reportAnew(decoded.start().target());
        }
    }

    private PlaceAnswer answer(final PlaceKeeper.Place place) {
        final TargetId target = place.choice().target().id();
        final PlaceAnswer.Builder answer = PlaceAnswer.newBuilder()
                .setTarget(target.value())
                .setPlace(place.id())
                .setEstimateMillis(millis(Math.round(place.choice().estimateMillis())));
        final Optional<LoadReport> report = loads.of(target);
        report.ifPresent(each -> answer.setLoad(DigestCodec.load(each)));
        return answer.build();
    }

    private static TargetRequirements required(final ServiceSpec spec, final PlaceAsk ask) {
        return new TargetRequirements(
                spec,
                ask.getModel().isEmpty() ? Optional.empty() : Optional.of(new BaseModel(ask.getModel())),
                ask.getAdapter().isEmpty() ? Optional.empty() : Optional.of(AdapterKey.parse(ask.getAdapter())),
                ask.getPromptTokens(),
                ask.getOutputTokens(),
                ask.getObjectiveMillis(),
                ask.getGapMillis());
    }

    private static Set<TargetId> excluded(final PlaceAsk ask) {
        final Set<TargetId> excluded = new HashSet<>();
        ask.getExcludedList().forEach(target -> excluded.add(new TargetId(target)));
        return excluded;
    }

    private static int millis(final long millis) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, millis));
    }

    /**
     * A place at a target.
     *
     * @param keeper the VM that has granted it
     * @param place names the place there
     * @param target the target
     * @param estimateMillis the time to the first chunk that the keeper has estimated
     */
    public record Grant(VmId keeper, long place, TargetId target, double estimateMillis) {}

    /** Until when a keeper is not asked. */
    private record Backoff(long untilNanos, long lengthNanos) {}
}
