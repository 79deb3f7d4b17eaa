package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.core.serving.target.TargetStart;

/**
 * The permits of one request for targets that limit the requests of all VMs together.
 *
 * <p>Invariant: a permit is used for one send to one start of a target, shortly after it was obtained. Confined to the
 * decision loop.
 */
final class RequestPermits {
    /** How long a request keeps a permit while its adapter is loaded. */
    private static final Duration VALIDITY = Duration.ofMillis(500);
    /** A request waits this much longer than expected, before it looks for another target. */
    private static final Duration PATIENCE = Duration.ofMillis(250);

    private static final int MAX_REFUSALS = 8;

    private final RequestDependencies dependencies;
    private final RequestLog log;
    private final Set<TargetId> refused = new HashSet<>();
    private int refusals;
    private TargetStart heldFor;
    private long obtainedNanos;

    /**
     * Creates an instance without a permit.
     *
     * @param dependencies the components that the request uses
     * @param log the log of the request
     */
    RequestPermits(final RequestDependencies dependencies, final RequestLog log) {
        this.dependencies = Objects.requireNonNull(dependencies);
        this.log = Objects.requireNonNull(log);
    }

    /** Returns whether the request must get a permit before it is sent to a target. */
    boolean needed(final TargetAnnouncement target) {
        final TargetStart start = TargetStart.of(target);
        final boolean held =
                start.equals(heldFor) && dependencies.timer().nanoTime() - obtainedNanos <= VALIDITY.toNanos();
        return !held && dependencies.permits().needed(start);
    }

    /**
     * Waits for a permit.
     *
     * @param target the target
     * @param deadline the time that the request has left
     * @return whether the request has a permit now; never fails
     */
    Single<Boolean> acquire(final TargetAnnouncement target, final RequestDeadline deadline) {
        final TargetStart start = TargetStart.of(target);
        final long askedNanos = dependencies.timer().nanoTime();
        final Duration patience = dependencies.permits().expectedWait(start).plus(PATIENCE);
        final Duration maxWait = patience.compareTo(deadline.remaining()) < 0 ? patience : deadline.remaining();
        return dependencies.permits().await(start, maxWait).doOnSuccess(granted -> {
            obtainedNanos = dependencies.timer().nanoTime();
            heldFor = granted ? start : null;
            log.permitWaitEnded(
                    target.id(),
                    granted,
                    Duration.ofNanos(obtainedNanos - askedNanos).toMillis());
            dependencies.metrics().permit(granted);
        });
    }

    /** Records that the request is sent; the next send needs another permit. */
    void use() {
        heldFor = null;
    }

    /**
     * Records that a target has no permit for the request in time.
     *
     * @return the targets that must not be asked again: the target if it was refused before, all that limit their
     *     requests after several refusals
     */
    Collection<TargetId> refused(final TargetId target, final ServiceSpec service) {
        if (++refusals >= MAX_REFUSALS) {
            return dependencies.chooser().limitedTargets(service);
        }
        return refused.add(target) ? List.of() : List.of(target);
    }
}
