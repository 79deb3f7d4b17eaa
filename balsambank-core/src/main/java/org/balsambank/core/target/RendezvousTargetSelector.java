package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.time.TimerService;

/**
 * Routes the requests of an adapter to the same few home targets, which all VMs determine by rendezvous hashing.
 *
 * <p>An adapter has one home. While that home is busy, a popular adapter uses several homes, and requests with the same
 * prompt prefix go to the same one. A fully loaded home is tried after the others. A call of a plain service goes to
 * the less loaded of two random targets, with targets in the failure domain of this VM first. Confined to the decision
 * loop.
 */
public final class RendezvousTargetSelector implements TargetSelector {
    private static final int MAX_CHOICES = 4;
    private static final double BUSY_LOAD = 0.75;
    private static final double FULL_LOAD = 2;

    private final FailureDomain domain;
    private final RandomGenerator random;
    private final CandidateIndex candidates = new CandidateIndex();
    private final TargetLoadHints hints;
    private final AdapterPopularity popularity;

    /**
     * Creates a selector without load hints.
     *
     * @param timers the timer service
     * @param domain the failure domain of this VM
     * @param random shuffles the targets of plain services
     */
    public RendezvousTargetSelector(
            final TimerService timers, final FailureDomain domain, final RandomGenerator random) {
        this.domain = Objects.requireNonNull(domain);
        this.random = Objects.requireNonNull(random);
        this.hints = new TargetLoadHints(timers);
        this.popularity = new AdapterPopularity(timers);
    }

    @Override
    public List<Target> forAdapter(final Catalogue catalogue, final AdapterRef adapter, final long prefixHash) {
        popularity.count(adapter);
        final List<HashedTarget> all = candidates.forAdapter(catalogue, adapter);
        final List<Target> homes = HomeTargets.homes(RendezvousHash.of(adapter.toString()), all, MAX_CHOICES);
        if (homes.isEmpty()) {
            return homes;
        }
        final boolean busy = load(homes.get(0)) >= BUSY_LOAD;
        final int copies = busy ? Math.min(popularity.copies(adapter, all.size()), homes.size()) : 1;
        return fullyLoadedLast(byPrefix(homes, copies, prefixHash));
    }

    @Override
    public List<Target> forService(final Catalogue catalogue, final ServiceName service) {
        final List<Target> local = new ArrayList<>();
        final List<Target> remote = new ArrayList<>();
        for (final HashedTarget candidate : candidates.forService(catalogue, service)) {
            (candidate.target().failureDomain().equals(domain) ? local : remote).add(candidate.target());
        }
        final List<Target> order = lessLoadedOfTwoFirst(local);
        order.addAll(lessLoadedOfTwoFirst(remote));
        return fullyLoadedLast(order.subList(0, Math.min(MAX_CHOICES, order.size())));
    }

    @Override
    public void observe(final Target target, final Optional<AdapterRef> adapter, final Optional<Double> loadHint) {
        loadHint.ifPresent(load -> hints.record(target.id(), load));
    }

    private static List<Target> byPrefix(final List<Target> homes, final int copies, final long prefixHash) {
        final List<HashedTarget> copyHomes =
                homes.subList(0, copies).stream().map(HashedTarget::of).toList();
        final List<Target> order = new ArrayList<>(HomeTargets.homes(prefixHash, copyHomes, copies));
        order.addAll(homes.subList(copies, homes.size()));
        return order;
    }

    private List<Target> fullyLoadedLast(final List<Target> order) {
        final List<Target> sorted = new ArrayList<>(order);
        sorted.sort(Comparator.comparing(target -> load(target) >= FULL_LOAD));
        return sorted;
    }

    private List<Target> lessLoadedOfTwoFirst(final List<Target> targets) {
        final List<Target> order = new ArrayList<>(targets);
        for (int i = 0; i < order.size() - 1; i++) {
            Collections.swap(order, i, i + random.nextInt(order.size() - i));
        }
        if (order.size() > 1 && load(order.get(1)) < load(order.get(0))) {
            Collections.swap(order, 0, 1);
        }
        return order;
    }

    private double load(final Target target) {
        return hints.load(target.id());
    }
}
