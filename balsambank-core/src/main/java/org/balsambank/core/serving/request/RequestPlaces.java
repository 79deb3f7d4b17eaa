package org.balsambank.core.serving.request;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.serving.choice.TargetChoice;
import org.balsambank.core.serving.choice.TargetRequirements;
import org.balsambank.core.serving.fleet.PlaceExchange;

/**
 * The choice of targets for one request, with a place if the VM that keeps the places of the service grants one.
 *
 * <p>Invariant: the request has at most one place, which is given back when its attempt ends. Confined to the decision
 * loop.
 */
final class RequestPlaces {
    private final RequestDependencies dependencies;
    private Optional<PlaceExchange.Grant> held = Optional.empty();
    private boolean engines;
    private boolean closed;

    /**
     * Creates an instance without a place.
     *
     * @param dependencies the components that the request uses
     */
    RequestPlaces(final RequestDependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies);
    }

    /**
     * Chooses a target.
     *
     * @param required what the request needs
     * @param excluded the targets that have refused or failed the request
     * @param deadline the time that the request has left
     * @param next gets the choice, empty if no target can take the request; called at once, or once the keeper of the
     *     places has answered
     */
    void choose(
            final TargetRequirements required,
            final Set<TargetId> excluded,
            final RequestDeadline deadline,
            final Consumer<Optional<TargetChoice>> next) {
        engines = required.service().engine().isPresent();
        final Optional<VmId> keeper =
                dependencies.places().keeperOf(required.service().name());
        if (keeper.isEmpty()) {
            chosen(required, excluded, Optional.empty(), next);
            return;
        }
        if (dependencies.places().isSelf(keeper.get())) {
            chosen(required, excluded, dependencies.places().grantHere(required, excluded, deadline.remaining()), next);
            return;
        }
        // Not disposed when the request ends: a place that is granted later must be given back.
        dependencies
                .places()
                .ask(keeper.get(), required, excluded, deadline.remaining())
                .subscribe(grant -> chosen(required, excluded, grant, next));
    }

    private void chosen(
            final TargetRequirements required,
            final Set<TargetId> excluded,
            final Optional<PlaceExchange.Grant> grant,
            final Consumer<Optional<TargetChoice>> next) {
        held = grant;
        if (closed) {
            end();
            return;
        }
        Optional<TargetChoice> choice = grant.flatMap(
                place -> dependencies.chooser().granted(required, place.target(), place.estimateMillis(), excluded));
        if (choice.isEmpty()) {
            end();
            choice = dependencies.chooser().choose(required, excluded);
        }
        choice.ifPresent(each -> dependencies.metrics().targetChosen(each.kind().label()));
        next.accept(choice);
    }

    /** Records that an engine has processed the prompt. */
    void promptRead() {
        held.filter(place -> engines).ifPresent(dependencies.places()::promptRead);
    }

    /** Records the end of a wait for an adapter at the chosen target. */
    void adapterWaitEnded(final TargetId target, final boolean resident, final long waitedMillis) {
        if (resident) {
            dependencies.chooser().adapterWaits().loaded(target, waitedMillis);
            return;
        }
        dependencies.chooser().adapterWaits().failed(target);
        held.ifPresent(dependencies.places()::loadFailed);
        held = Optional.empty();
    }

    /** Gives the place back. */
    void end() {
        held.ifPresent(dependencies.places()::end);
        held = Optional.empty();
    }

    /** Gives the place back, also one that is granted later. */
    void close() {
        closed = true;
        end();
    }
}
