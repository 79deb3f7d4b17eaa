package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.ServiceName;

/**
 * Orders targets round-robin. Serves as a baseline for measurements.
 *
 * <p>Confined to the decision loop.
 */
public final class RoundRobinTargetSelector implements TargetSelector {
    private final CandidateIndex candidates = new CandidateIndex();
    private int next;

    @Override
    public List<Target> forAdapter(final Catalogue catalogue, final AdapterRef adapter, final long prefixHash) {
        return rotated(candidates.forAdapter(catalogue, adapter));
    }

    @Override
    public List<Target> forService(final Catalogue catalogue, final ServiceName service) {
        return rotated(candidates.forService(catalogue, service));
    }

    @Override
    public void observe(final Target target, final Optional<AdapterRef> adapter, final Optional<Double> loadHint) {
        // The order does not depend on the load.
    }

    private List<Target> rotated(final List<HashedTarget> all) {
        final List<Target> order =
                new ArrayList<>(all.stream().map(HashedTarget::target).toList());
        if (!order.isEmpty()) {
            Collections.rotate(order, -Math.floorMod(next++, order.size()));
        }
        return order;
    }
}
