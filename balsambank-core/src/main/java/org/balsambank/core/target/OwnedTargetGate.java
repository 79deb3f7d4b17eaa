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
 * <p>Invariant: a permit is granted only while this VM owns the partition. State is kept only for targets that this VM
 * owns or that still run a request admitted by this VM. Confined to the decision loop.
 */
public final class OwnedTargetGate implements TargetGate, Component {
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    private final GateContext context;
    private final Map<TargetId, OwnedTarget> targets = new HashMap<>();

    /**
     * Creates a gate without targets.
     *
     * @param ownership determines which targets this VM owns
     * @param catalogues the source of the current configuration
     * @param client sends commands to targets
     * @param timers the timer service
     * @param slots limits adapter loads across all VMs
     * @param poison counts the target crashes per request
     * @param trials runs suspect requests one at a time
     * @param invariants records violated invariants
     * @param registry the registry for the meters
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
                return rejected(ErrorKind.NO_TARGET, "the target is out of service");
            }
            return switch (context.poison().verdict(request.fingerprint())) {
                case POISON -> rejected(ErrorKind.POISON_REQUEST, "the request has cost two targets");
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
                context.ownership()
                        .changes()
                        .doOnNext(change -> createOwnedTargets())
                        .ignoreElements(),
                context.timers()
                        .every(TICK_PERIOD)
                        .doOnNext(tick -> forEach(OwnedTarget::tick))
                        .ignoreElements(),
                context.timers().every(REPORT_PERIOD).doOnNext(tick -> poll()).ignoreElements());
    }

    private void configure(final Catalogue catalogue) {
        createOwnedTargets();
        targets.forEach((id, owned) -> {
            final Target updated = catalogue.targets().get(id);
            owned.configure(
                    updated == null ? owned.target() : updated, updated != null && catalogue.inService(updated));
        });
    }

    /** Creates the state of owned targets ahead of the first request, so that a report is available by then. */
    private void createOwnedTargets() {
        for (final Target target : context.catalogues().current().targets().values()) {
            if (context.catalogues().current().inService(target) && owns(target)) {
                owned(target).poll();
            }
        }
        forEach(OwnedTarget::tick);
    }

    private boolean owns(final Target target) {
        return context.ownership()
                .heldEpoch(context.ownership()
                        .partitionOf(SubjectKind.TARGET, target.id().value()))
                .isPresent();
    }

    private void poll() {
        forEach(OwnedTarget::poll);
        targets.values().removeIf(OwnedTarget::discardable);
    }

    private void forEach(final Consumer<OwnedTarget> action) {
        new ArrayList<>(targets.values()).forEach(action);
    }

    private OwnedTarget owned(final Target target) {
        return targets.computeIfAbsent(target.id(), id -> new OwnedTarget(target, context));
    }

    private Single<TargetPermit> rejected(final ErrorKind kind, final String message) {
        context.meters().rejected(kind);
        return Single.error(new BalsambankException(kind, message));
    }
}
