package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.ServiceName;

/**
 * Orders targets at random. Serves as a baseline for measurements.
 *
 * <p>Confined to the decision loop.
 */
public final class RandomTargetSelector implements TargetSelector {
    private final RandomGenerator random;
    private final CandidateIndex candidates = new CandidateIndex();

    /**
     * Creates a selector.
     *
     * @param random the source of randomness
     */
    public RandomTargetSelector(final RandomGenerator random) {
        this.random = Objects.requireNonNull(random);
    }

    @Override
    public List<Target> forAdapter(final Catalogue catalogue, final AdapterRef adapter, final long prefixHash) {
        return shuffled(candidates.forAdapter(catalogue, adapter));
    }

    @Override
    public List<Target> forService(final Catalogue catalogue, final ServiceName service) {
        return shuffled(candidates.forService(catalogue, service));
    }

    @Override
    public void observe(final Target target, final Optional<AdapterRef> adapter, final Optional<Double> loadHint) {
        // The order does not depend on the load.
    }

    private List<Target> shuffled(final List<HashedTarget> all) {
        final List<Target> order = new ArrayList<>();
        for (final HashedTarget each : all) {
            order.add(random.nextInt(order.size() + 1), each.target());
        }
        return order;
    }
}
