package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.admission.ColdTargetLimiter;
import org.balsambank.core.serving.admission.SendPermits;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.serving.target.TargetStart;
import org.balsambank.core.serving.target.TargetState;
import org.balsambank.core.serving.target.TargetTable;
import org.balsambank.core.time.TimerService;

/**
 * Finds the targets that may receive a request.
 *
 * <p>Confined to the decision loop.
 */
final class CandidateFilter {
    private static final Duration RETURN_INTERVAL = Duration.ofMillis(50);

    private final TargetTable targets;
    private final InFlightRequests inFlight;
    private final ColdTargetLimiter coldTargetLimiter;
    private final SendPermits permits;
    private final TimerService timer;

    /**
     * Creates a filter.
     *
     * @param targets the known targets
     * @param inFlight the requests in flight
     * @param coldTargetLimiter the rate limits of cold targets
     * @param permits how long requests wait for targets that limit their requests
     * @param timer the timer service
     */
    CandidateFilter(
            final TargetTable targets,
            final InFlightRequests inFlight,
            final ColdTargetLimiter coldTargetLimiter,
            final SendPermits permits,
            final TimerService timer) {
        this.targets = Objects.requireNonNull(targets);
        this.inFlight = Objects.requireNonNull(inFlight);
        this.coldTargetLimiter = Objects.requireNonNull(coldTargetLimiter);
        this.permits = Objects.requireNonNull(permits);
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Returns the targets of a service that may receive a request.
     *
     * @param service the service
     * @param excluded the targets that have refused or failed the request
     * @return the candidates, ordered by id
     */
    List<TargetState> candidates(final ServiceSpec service, final Set<TargetId> excluded) {
        final long now = timer.nanoTime();
        final List<TargetState> candidates = new ArrayList<>();
        for (final TargetState state : targets.usable(service.name())) {
            if (!excluded.contains(state.announcement().id())
                    && expectedWait(state).compareTo(SendPermits.MAX_WAIT) <= 0
                    && accepts(service, state, now)) {
                candidates.add(state);
            }
        }
        return candidates;
    }

    /** Returns whether a target that was chosen earlier may still receive a request. */
    boolean stillAccepts(final ServiceSpec service, final TargetId target) {
        return targets.usable(target)
                && targets.find(target)
                        .filter(state -> accepts(service, state, timer.nanoTime()))
                        .isPresent();
    }

    /** Returns when a service whose targets have paused may accept requests again, empty if none of them has. */
    Optional<Duration> untilPauseEnds(final ServiceSpec service, final Set<TargetId> excluded) {
        final long now = timer.nanoTime();
        return targets.usable(service.name()).stream()
                .filter(state -> !excluded.contains(state.announcement().id()))
                .filter(state -> returning(state, now))
                .map(state -> state.pauseRemaining(now))
                .min(Comparator.naturalOrder())
                .map(left -> left.isZero() ? RETURN_INTERVAL : left);
    }

    /** Returns the targets of a service that limit their requests. */
    Stream<TargetState> limited(final ServiceSpec service) {
        return targets.usable(service.name()).stream()
                .filter(state -> permits.needed(TargetStart.of(state.announcement())));
    }

    /** Returns how long a request to a target is expected to wait for its turn. */
    Duration expectedWait(final TargetState state) {
        return permits.expectedWait(TargetStart.of(state.announcement()));
    }

    private boolean returning(final TargetState state, final long now) {
        return inFlight.total(state.announcement().id()).requests() >= state.maxInFlight(now);
    }

    private boolean accepts(final ServiceSpec service, final TargetState state, final long now) {
        if (returning(state, now)) {
            return false;
        }
        final double perSecond = service.coldPerSecond();
        return perSecond <= 0
                || !state.cold(now)
                || coldTargetLimiter.allows(state.announcement().id(), perSecond);
    }
}
