package org.balsambank.core.serving.choice;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.target.InFlightRequests;
import org.balsambank.core.time.TimerService;

/**
 * The places at targets that this VM has granted to requests of all VMs.
 *
 * <p>Invariant: a place is free again when its request ends, and at the deadline of the request at the latest, so that
 * the places of a VM that was killed are not lost. Confined to the decision loop.
 */
final class HeldPlaces implements UsageView {
    /** After this time without a grant, and at the start, the requests without places count as well. */
    private static final long WARM_UP_NANOS = Duration.ofSeconds(2).toNanos();

    private final InFlightRequests inFlight;
    private final TimerService timer;
    private final Map<Long, Held> held = new HashMap<>();
    private final PriorityQueue<Held> byExpiry =
            new PriorityQueue<>(Comparator.comparingLong(each -> each.expiryNanos));
    private final Map<TargetId, Sums> sums = new HashMap<>();
    private long warmUpEndNanos;
    private long lastGrantNanos;
    private boolean granted;

    /**
     * Creates an instance without places.
     *
     * @param inFlight the requests in flight that VMs have told each other of
     * @param timer the timer service
     */
    HeldPlaces(final InFlightRequests inFlight, final TimerService timer) {
        this.inFlight = Objects.requireNonNull(inFlight);
        this.timer = Objects.requireNonNull(timer);
    }

    /** Removes places whose requests must have ended, and begins to warm up after a time without grants. */
    void prepare() {
        final long now = timer.nanoTime();
        while (!byExpiry.isEmpty() && byExpiry.peek().expiryNanos - now <= 0) {
            end(byExpiry.peek().place);
        }
        if (!granted || now - lastGrantNanos > WARM_UP_NANOS) {
            warmUpEndNanos = now + WARM_UP_NANOS;
        }
        granted = true;
        lastGrantNanos = now;
    }

    /**
     * Records a grant.
     *
     * @param place the name of the place
     * @param target the target
     * @param tokens the prompt tokens of the request
     * @param adapter the adapter that it names, if it names one
     * @param until the time until the deadline of the request
     */
    void grant(
            final long place,
            final TargetId target,
            final long tokens,
            final Optional<AdapterKey> adapter,
            final Duration until) {
        final Held grant = new Held(place, target, tokens, adapter, timer.nanoTime() + until.toNanos());
        held.put(place, grant);
        byExpiry.add(grant);
        final Sums atTarget = sums.computeIfAbsent(target, ignored -> new Sums());
        atTarget.requests++;
        atTarget.pendingTokens += tokens;
        adapter.ifPresent(key -> atTarget.adapters.merge(key, 1, Integer::sum));
    }

    /** Records that the target has processed the prompt of the request that has a place. */
    void promptRead(final long place) {
        final Held grant = held.get(place);
        if (grant != null && !grant.promptRead) {
            grant.promptRead = true;
            sums.get(grant.target).pendingTokens -= grant.tokens;
        }
    }

    /** Records that a place is free again. Unknown places are ignored. */
    void end(final long place) {
        promptRead(place);
        final Held grant = held.remove(place);
        if (grant == null) {
            return;
        }
        byExpiry.remove(grant);
        final Sums atTarget = sums.get(grant.target);
        atTarget.requests--;
        grant.adapter.ifPresent(
                key -> atTarget.adapters.computeIfPresent(key, (k, count) -> count == 1 ? null : count - 1));
        if (atTarget.requests == 0) {
            sums.remove(grant.target);
        }
    }

    @Override
    public InFlightRequests.Usage total(final TargetId target) {
        final Sums atTarget = sums.get(target);
        final int requests = atTarget == null ? 0 : atTarget.requests;
        final long tokens = atTarget == null ? 0 : atTarget.pendingTokens;
        if (timer.nanoTime() - warmUpEndNanos >= 0) {
            return new InFlightRequests.Usage(requests, tokens, Set.of());
        }
        final InFlightRequests.Usage told = inFlight.total(target);
        return new InFlightRequests.Usage(
                Math.max(requests, told.requests()), Math.max(tokens, told.pendingPromptTokens()), Set.of());
    }

    @Override
    public int certain(final TargetId target) {
        final Sums atTarget = sums.get(target);
        return atTarget == null ? 0 : atTarget.requests;
    }

    @Override
    public Set<AdapterKey> adapters(final TargetId target) {
        final Sums atTarget = sums.get(target);
        return atTarget == null ? Set.of() : atTarget.adapters.keySet();
    }

    /** Returns the number of places. */
    int size() {
        return held.size();
    }

    /** Returns the target of a place, empty if it is free again. */
    Optional<TargetId> targetOf(final long place) {
        return Optional.ofNullable(held.get(place)).map(each -> each.target);
    }

    /** The sums of the places at one target. */
    private static final class Sums {
        private int requests;
        private long pendingTokens;
        private final Map<AdapterKey, Integer> adapters = new HashMap<>();
    }

    /** A place. */
    private static final class Held {
        private final long place;
        private final TargetId target;
        private final long tokens;
        private final Optional<AdapterKey> adapter;
        private final long expiryNanos;
        private boolean promptRead;

        private Held(
                final long place,
                final TargetId target,
                final long tokens,
                final Optional<AdapterKey> adapter,
                final long expiryNanos) {
            this.place = place;
            this.target = target;
            this.tokens = tokens;
            this.adapter = adapter;
            this.expiryNanos = expiryNanos;
        }
    }
}
