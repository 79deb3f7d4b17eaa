package org.balsambank.core.catalogue.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.id.Revision;
import org.balsambank.core.invariant.Invariant;
import org.balsambank.core.invariant.InvariantMonitor;

/**
 * Holds the configuration that is in force on this VM.
 *
 * <p>Confined to the decision loop, but for {@link #current()}. Invariant: only higher revisions are taken.
 */
public final class CatalogueReplica implements CatalogueSource {
    private static final String REVISION_GAUGE = "balsambank.catalogue.revision";
    private static final String STALE_COUNTER = "balsambank.catalogue.stale";
    private static final int KEPT_REVISIONS = 16;

    private final InvariantMonitor invariants;
    private final MeterRegistry registry;
    private final BehaviorProcessor<Catalogue> changes = BehaviorProcessor.createDefault(Catalogue.EMPTY);
    private final Map<Revision, List<ContentHash>> history = new LinkedHashMap<>();
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    /**
     * Creates a replica that holds the empty catalogue.
     *
     * @param invariants watch the revision
     * @param registry counts and shows the revision
     */
    public CatalogueReplica(final InvariantMonitor invariants, final MeterRegistry registry) {
        this.invariants = Objects.requireNonNull(invariants);
        this.registry = Objects.requireNonNull(registry);
        Gauge.builder(REVISION_GAUGE, this, replica -> replica.revision().value())
                .register(registry);
        remember(snapshot);
    }

    @Override
    public Catalogue current() {
        return snapshot.catalogue();
    }

    @Override
    public Flowable<Catalogue> changes() {
        return changes.onBackpressureLatest();
    }

    /**
     * Returns the state in force.
     *
     * @return the snapshot
     */
    public Snapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision
     */
    public Revision revision() {
        return snapshot.revision();
    }

    /**
     * Puts a state in force if it is later than the one in force.
     *
     * @param newer the state
     * @return true if it is in force now
     */
    public boolean installIfNewer(final Snapshot newer) {
        final Revision before = revision();
        if (newer.revision().compareTo(before) <= 0) {
            registry.counter(STALE_COUNTER).increment();
            return false;
        }
        snapshot = newer;
        remember(newer);
        invariants.check(
                revision().compareTo(before) > 0,
                Invariant.REVISION_MONOTONE,
                () -> "from " + before.value() + " to " + revision().value());
        changes.onNext(newer.catalogue());
        return true;
    }

    /**
     * Returns the chunks of an earlier state.
     *
     * @param revision the revision
     * @return the addresses in the order of the buckets, if they are still known
     */
    Optional<List<ContentHash>> chunksAt(final Revision revision) {
        return Optional.ofNullable(history.get(revision));
    }

    private void remember(final Snapshot state) {
        history.put(state.revision(), state.chunks().stream().map(Chunk::hash).toList());
        if (history.size() > KEPT_REVISIONS) {
            history.remove(history.keySet().iterator().next());
        }
    }
}
