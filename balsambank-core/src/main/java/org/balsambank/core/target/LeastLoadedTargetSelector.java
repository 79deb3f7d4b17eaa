package org.balsambank.core.target;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.time.TimerService;

/**
 * Orders targets by load, the least loaded first. Serves as a baseline for measurements.
 *
 * <p>Confined to the decision loop.
 */
public final class LeastLoadedTargetSelector implements TargetSelector {
    private final CandidateIndex candidates = new CandidateIndex();
    private final TargetLoadHints hints;

    /**
     * Creates a selector without load hints.
     *
     * @param timers the timer service
     */
    public LeastLoadedTargetSelector(final TimerService timers) {
        this.hints = new TargetLoadHints(timers);
    }

    @Override
    public List<Target> forAdapter(final Catalogue catalogue, final AdapterRef adapter, final long prefixHash) {
        return sorted(candidates.forAdapter(catalogue, adapter));
    }

    @Override
    public List<Target> forService(final Catalogue catalogue, final ServiceName service) {
        return sorted(candidates.forService(catalogue, service));
    }

    @Override
    public void observe(final Target target, final Optional<AdapterRef> adapter, final Optional<Double> loadHint) {
        loadHint.ifPresent(load -> hints.record(target.id(), load));
    }

    private List<Target> sorted(final List<HashedTarget> targets) {
        return targets.stream()
                .map(HashedTarget::target)
                .sorted(Comparator.comparingDouble(target -> hints.load(target.id())))
                .toList();
    }
}
