package org.balsambank.core.catalogue.store;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueStore;

/**
 * Deletes contents that are not referenced by the head.
 *
 * <p>Confined to the decision loop. Only contents last written before the head was swapped are deleted, and only if
 * they were not rewritten since. A concurrent apply writes each content that it relies on after it has read the head,
 * so these contents are never deleted.
 */
final class ContentGarbageCollector {
    private static final int REVISIONS_PER_SWEEP = 64;

    private final KeyValueStore store;

    /**
     * Creates a collector.
     *
     * @param store the key-value service
     */
    ContentGarbageCollector(final KeyValueStore store) {
        this.store = store;
    }

    /**
     * Deletes the contents that became unreferenced when the head was swapped. Every 64 revisions, also deletes
     * contents left by aborted attempts.
     *
     * @param before the snapshot before the swap
     * @param after the snapshot in force
     * @param headRevision the store revision of the swapped head
     * @return completes when the contents are deleted
     */
    Completable collect(final Snapshot before, final Snapshot after, final long headRevision) {
        final Set<ContentHash> referenced = contents(after).collect(Collectors.toSet());
        if (after.revision().value() % REVISIONS_PER_SWEEP == 0) {
            return sweep(referenced, headRevision);
        }
        final List<ContentHash> unreferenced =
                contents(before).filter(hash -> !referenced.contains(hash)).toList();
        return Flowable.fromIterable(unreferenced)
                .concatMapMaybe(
                        hash -> store.read(CatalogueReader.contentKey(hash)).flatMapMaybe(Maybe::fromOptional))
                .concatMapCompletable(entry -> deleteIfOlder(entry, headRevision));
    }

    private Completable sweep(final Set<ContentHash> referenced, final long headRevision) {
        final Set<String> keys =
                referenced.stream().map(CatalogueReader::contentKey).collect(Collectors.toSet());
        return store.list(CatalogueReader.CONTENT_PREFIX)
                .flattenAsFlowable(snapshot -> snapshot.entries())
                .filter(entry -> !keys.contains(entry.key()))
                .concatMapCompletable(entry -> deleteIfOlder(entry, headRevision));
    }

    private Completable deleteIfOlder(final KeyValueEntry entry, final long headRevision) {
        if (entry.revision() >= headRevision) {
            return Completable.complete();
        }
        return store.delete(entry.key(), entry.revision()).onErrorComplete();
    }

    private static Stream<ContentHash> contents(final Snapshot snapshot) {
        return Stream.concat(snapshot.chunks().stream().map(Chunk::hash), Stream.of(snapshot.indexHash()));
    }
}
