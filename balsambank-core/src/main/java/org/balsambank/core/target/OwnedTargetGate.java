package org.balsambank.core.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.port.TargetClient;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;

/**
 * Admits requests to the targets whose partitions this VM owns.
 *
 * <p>Invariant: a permit is given only while this VM holds the partition. State is kept only for targets that this VM
 * owns or that still run a request of it. Confined to the decision loop.
 */
public final class OwnedTargetGate implements TargetGate, Component {
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    private final GateContext context;
    private final Map<TargetId, OwnedTarget> targets = new HashMap<>();

    /**
     * Creates a gate without targets.
     *
     * @param ownership tells which targets this VM decides for
     * @param catalogues gives the configuration in force
     * @param client sends orders to targets
     * @param timers gives the time
     * @param slots limits the loads over all VMs
     * @param poison counts the targets that requests have cost
     * @param trials lets suspects run one at a time
     * @param invariants takes note of what breaks
     * @param registry holds the meters
     */
    public OwnedTargetGate(
            final Ownership ownership,
            final CatalogueSource catalogues,
            final TargetClient client,
            final TimerService timers,
            final LoadSlots slots,
            final PoisonRequestRegistry poison,
            final CrashTrials trials,
            final InvariantMonitor invariants,
            final MeterRegistry registry) {
        this.context = new GateContext(
                ownership, catalogues, client, timers, slots, poison, trials, invariants, new TargetMeters(registry));
    }

    @Override
    public Single<TargetPermit> acquire(final AdmissionRequest request) {
        return Single.defer(() -> {
            final Catalogue catalogue = context.catalogues().current();
            final Target target = catalogue.targets().get(request.target());
            if (target == null || !catalogue.inService(target)) {
                return refused(ErrorKind.NO_TARGET, "the target is out of service");
            }
            return switch (context.poison().verdict(request.fingerprint())) {
                case POISON -> refused(ErrorKind.POISON_REQUEST, "the request has cost two targets");
                case SUSPECT ->
                    context.trials()
                            .begin(request.fingerprint(), context.poison().crashes(request.fingerprint()))
                            .flatMap(trial -> owned(target).acquire(request, Optional.of(trial)));
                case CLEAN -> owned(target).acquire(request, Optional.empty());
            };
        });
    }

    @Override
    public OptionalDouble load(final TargetId target) {
        final OwnedTarget owned = targets.get(target);
        return owned == null ? OptionalDouble.empty() : OptionalDouble.of(owned.load());
    }

    @Override
    public String name() {
        return "target-gate";
    }

    @Override
    public Completable run() {
        return Completable.mergeArray(
                context.catalogues().changes().doOnNext(this::configure).ignoreElements(),
                context.ownership().changes().doOnNext(change -> adoptOwned()).ignoreElements(),
                context.timers()
                        .every(TICK_PERIOD)
                        .doOnNext(tick -> forEach(OwnedTarget::tick))
                        .ignoreElements(),
                context.timers().every(REPORT_PERIOD).doOnNext(tick -> poll()).ignoreElements());
    }

    private void configure(final Catalogue catalogue) {
        adoptOwned();
        targets.forEach((id, owned) -> {
            final Target updated = catalogue.targets().get(id);
            owned.configure(
                    updated == null ? owned.target() : updated, updated != null && catalogue.inService(updated));
        });
    }

    /** Creates the state of owned targets before the first request, so that their reports are there in time. */
    private void adoptOwned() {
        for (final Target target : context.catalogues().current().targets().values()) {
            if (context.catalogues().current().inService(target) && held(target)) {
                owned(target).poll();
            }
        }
        forEach(OwnedTarget::tick);
    }

    private boolean held(final Target target) {
        return context.ownership()
                .heldEpoch(context.ownership()
                        .partitionOf(SubjectKind.TARGET, target.id().value()))
                .isPresent();
    }

    private void poll() {
        forEach(OwnedTarget::poll);
        targets.values().removeIf(OwnedTarget::idle);
    }

    private void forEach(final Consumer<OwnedTarget> action) {
        new ArrayList<>(targets.values()).forEach(action);
    }

    private OwnedTarget owned(final Target target) {
        return targets.computeIfAbsent(target.id(), id -> new OwnedTarget(target, context));
    }

    private Single<TargetPermit> refused(final ErrorKind kind, final String message) {
        context.meters().refused(kind);
        return Single.error(new BalsambankException(kind, message));
    }
}
