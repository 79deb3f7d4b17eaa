package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.time.TimerService;

/**
 * Chooses targets for the requests of all VMs to a service.
 *
 * <p>As all requests to the service are chosen here, this VM knows what is in flight at its targets without the delay
 * of the digests, and takes the best of all targets. Confined to the decision loop.
 */
public final class PlaceKeeper {
    private static final Duration MAX_HELD = Duration.ofSeconds(60);
    /** Each grant takes two or three calls. More of them would take too much of the quarter of a core that a VM has. */
    private static final double MAX_GRANTS_PER_SECOND = 300;

    private static final double BURST = 30;

    private static final double NANOS_PER_SECOND = 1e9;

    private final CandidateFilter filter;
    private final HeldPlaces places;
    private final TargetPolicy plainPolicy;
    private final TargetPolicy enginePolicy;
    private final AdapterWaits waits;
    private final TimerService timer;
    private final RandomGenerator random;
    private double available = BURST;
    private long filledNanos;

    /**
     * Creates a keeper that has granted no places.
     *
     * @param filter finds the targets that may receive a request
     * @param places the places that are held
     * @param plainPolicy chooses among all targets of plain services by the places
     * @param enginePolicy chooses among all engines by the places
     * @param waits learns at which targets adapters are not loaded in time
     * @param timer the timer service
     * @param random names places
     */
    PlaceKeeper(
            final CandidateFilter filter,
            final HeldPlaces places,
            final TargetPolicy plainPolicy,
            final TargetPolicy enginePolicy,
            final AdapterWaits waits,
            final TimerService timer,
            final RandomGenerator random) {
        this.filter = Objects.requireNonNull(filter);
        this.places = Objects.requireNonNull(places);
        this.plainPolicy = Objects.requireNonNull(plainPolicy);
        this.enginePolicy = Objects.requireNonNull(enginePolicy);
        this.waits = Objects.requireNonNull(waits);
        this.timer = Objects.requireNonNull(timer);
        this.random = Objects.requireNonNull(random);
        filledNanos = timer.nanoTime();
    }

    /**
     * Grants a place.
     *
     * @param required what the request needs
     * @param excluded the targets that have refused or failed the request
     * @param remaining the time until the deadline of the request
     * @return the place, empty if no target can take the request or this VM grants too many
     */
    public Optional<Place> grant(
            final TargetRequirements required, final Set<TargetId> excluded, final Duration remaining) {
        if (!withinRate()) {
            return Optional.empty();
        }
        places.prepare();
        final TargetPolicy policy = required.service().engine().isPresent() ? enginePolicy : plainPolicy;
        return policy.choose(required, filter.candidates(required.service(), excluded))
                .map(choice -> {
                    final long place = random.nextLong();
                    places.grant(
                            place,
                            choice.target().id(),
                            required.promptTokens(),
                            required.adapter(),
                            remaining.compareTo(MAX_HELD) < 0 ? remaining : MAX_HELD);
                    return new Place(place, choice.withKind(ChoiceKind.GRANTED));
                });
    }

    private boolean withinRate() {
        final long now = timer.nanoTime();
        available = Math.min(BURST, available + (now - filledNanos) / NANOS_PER_SECOND * MAX_GRANTS_PER_SECOND);
        filledNanos = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }

    /**
     * Records that a target has processed the prompt of a request.
     *
     * @param place the place of the request; unknown ones are ignored
     */
    public void promptRead(final long place) {
        places.promptRead(place);
    }

    /**
     * Records that an adapter was not loaded in time for a request, and that its place is free again.
     *
     * @param place the place; unknown ones are ignored
     */
    public void loadFailed(final long place) {
        places.targetOf(place).ifPresent(waits::failed);
        places.end(place);
    }

    /**
     * Records that a place is free again.
     *
     * @param place the place; unknown ones are ignored
     */
    public void end(final long place) {
        places.end(place);
    }

    /**
     * Returns the number of places that are taken.
     *
     * @return the places that this VM has granted
     */
    public int held() {
        return places.size();
    }

    /**
     * A place at a target.
     *
     * @param id names the place
     * @param choice the target
     */
    public record Place(long id, TargetChoice choice) {}
}
