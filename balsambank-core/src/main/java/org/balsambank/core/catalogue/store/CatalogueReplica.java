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
 * The catalogue that is in force on this VM.
 *
 * <p>Confined to the decision loop, except {@link #current()}. Invariant: the revision never decreases.
 */
public final class CatalogueReplica implements CatalogueSource {
    private static final String REVISION_GAUGE = "balsambank.catalogue.revision";
    private static final String STALE_COUNTER = "balsambank.catalogue.stale";
    private static final int MAX_HISTORY = 16;

    private final InvariantMonitor invariants;
    private final MeterRegistry registry;
    private final BehaviorProcessor<Catalogue> changes = BehaviorProcessor.createDefault(Catalogue.EMPTY);
    private final Map<Revision, List<ContentHash>> history = new LinkedHashMap<>();
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    /**
     * Creates a replica with the empty catalogue.
     *
     * @param invariants checks that the revision increases
     * @param registry the registry of the metrics
     */
    public CatalogueReplica(final InvariantMonitor invariants, final MeterRegistry registry) {
        this.invariants = Objects.requireNonNull(invariants);
        this.registry = Objects.requireNonNull(registry);
        Gauge.builder(REVISION_GAUGE, this, replica -> replica.revision().value())
                .register(registry);
        addToHistory(snapshot);
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
     * Returns the snapshot in force.
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
     * Puts a snapshot in force if its revision is higher than the one in force.
     *
     * @param newer the snapshot
     * @return true if the snapshot was installed, false if it is not newer
     */
    public boolean installIfNewer(final Snapshot newer) {
        final Revision before = revision();
        if (newer.revision().compareTo(before) <= 0) {
            registry.counter(STALE_COUNTER).increment();
            return false;
        }
        snapshot = newer;
        addToHistory(newer);
        invariants.check(
                revision().compareTo(before) > 0,
                Invariant.REVISION_MONOTONE,
                () -> "from " + before.value() + " to " + revision().value());
        changes.onNext(newer.catalogue());
        return true;
    }

    /**
     * Returns the chunks of an earlier revision.
     *
     * @param revision the revision
     * @return the chunk hashes in bucket order, or empty if the revision is no longer in the history
     */
    Optional<List<ContentHash>> chunksAt(final Revision revision) {
        return Optional.ofNullable(history.get(revision));
    }

    private void addToHistory(final Snapshot added) {
        history.put(added.revision(), added.chunks().stream().map(Chunk::hash).toList());
        if (history.size() > MAX_HISTORY) {
            history.remove(history.keySet().iterator().next());
        }
    }
}
