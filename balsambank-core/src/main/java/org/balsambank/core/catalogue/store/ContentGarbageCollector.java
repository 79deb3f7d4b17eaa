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
 * Removes contents that no head refers to.
 *
 * <p>Confined to the decision loop. Only contents last written before the head was swapped are removed, and only if
 * nobody wrote them since: a swap that counts on a content writes it after it read the head, so it keeps the content.
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
     * Removes what the swap of the head left unused. Now and then, contents of broken-off attempts are removed too.
     *
     * @param before the state before the swap
     * @param after the state in force
     * @param headRevision the revision of the store that swapped the head
     * @return completes when done
     */
    Completable collect(final Snapshot before, final Snapshot after, final long headRevision) {
        final Set<ContentHash> used = contents(after).collect(Collectors.toSet());
        if (after.revision().value() % REVISIONS_PER_SWEEP == 0) {
            return sweep(used, headRevision);
        }
        final List<ContentHash> unused =
                contents(before).filter(hash -> !used.contains(hash)).toList();
        return Flowable.fromIterable(unused)
                .concatMapMaybe(
                        hash -> store.read(CatalogueReader.contentKey(hash)).flatMapMaybe(Maybe::fromOptional))
                .concatMapCompletable(entry -> remove(entry, headRevision));
    }

    private Completable sweep(final Set<ContentHash> used, final long headRevision) {
        final Set<String> keys = used.stream().map(CatalogueReader::contentKey).collect(Collectors.toSet());
        return store.list(CatalogueReader.CONTENT_PREFIX)
                .flattenAsFlowable(snapshot -> snapshot.entries())
                .filter(entry -> !keys.contains(entry.key()))
                .concatMapCompletable(entry -> remove(entry, headRevision));
    }

    private Completable remove(final KeyValueEntry entry, final long headRevision) {
        if (entry.revision() >= headRevision) {
            return Completable.complete();
        }
        return store.delete(entry.key(), entry.revision()).onErrorComplete();
    }

    private static Stream<ContentHash> contents(final Snapshot snapshot) {
        return Stream.concat(snapshot.chunks().stream().map(Chunk::hash), Stream.of(snapshot.indexHash()));
    }
}
