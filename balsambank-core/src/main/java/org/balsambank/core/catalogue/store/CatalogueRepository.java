package org.balsambank.core.catalogue.store;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.id.Revision;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;
import org.balsambank.protocol.generated.catalogue.CatalogueHead;
import org.balsambank.protocol.generated.catalogue.RemovedEntry;
import org.balsambank.protocol.generated.catalogue.WriteRecord;

/**
 * Stores the catalogue in the key-value service.
 *
 * <p>Confined to the decision loop. Invariant: the head references only stored contents, and each swap of the head
 * increments the revision by one. Contents are written before the head. A content that already exists is rewritten, so
 * that its store revision records the use and the garbage collector keeps it.
 */
public final class CatalogueRepository {
    private static final int WRITES_IN_FLIGHT = 8;
    private static final int MAX_ATTEMPTS = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final int MAX_RECORDED_WRITES = 16;
    private static final int MAX_RECORDED_REMOVALS = 64;
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final KeyValueStore store;
    private final CatalogueReader reader;
    private final TimerService timers;
    private final Supplier<String> writeIds;
    private final ContentGarbageCollector collector;
    private Snapshot lastSnapshot = Snapshot.EMPTY;

    /**
     * Creates a repository.
     *
     * @param store the key-value service
     * @param timers delays retries
     * @param writeIds supplies an id that is unique to each write
     */
    public CatalogueRepository(final KeyValueStore store, final TimerService timers, final Supplier<String> writeIds) {
        this.store = Objects.requireNonNull(store);
        this.reader = new CatalogueReader(store);
        this.timers = Objects.requireNonNull(timers);
        this.writeIds = Objects.requireNonNull(writeIds);
        this.collector = new ContentGarbageCollector(store);
    }

    /**
     * Reads the catalogue in force.
     *
     * @return the snapshot
     */
    public Single<Snapshot> read() {
        return readStored().map(StoredCatalogue::snapshot);
    }

    /**
     * Compares a catalogue with the one in force.
     *
     * @param desired the catalogue to compare
     * @return the changes that applying it would make
     */
    public Single<List<EntryChange>> diff(final Catalogue desired) {
        return readStored()
                .map(stored -> EntryChange.between(
                        stored.snapshot().entries(), EntryEncoder.encode(desired), next(stored.snapshot())));
    }

    /**
     * Replaces the whole catalogue. The new catalogue is in force once the result is emitted. Its own revision is
     * ignored.
     *
     * @param desired the new catalogue
     * @param expected the revision that the operator started from, if known
     * @return the result; fails with {@link ApplyConflictException} if another operator applied a change first
     */
    public Single<ApplyResult> apply(final Catalogue desired, final Optional<Revision> expected) {
        return readStored().flatMap(stored -> {
            final Revision base = stored.snapshot().revision();
            if (expected.isPresent() && !expected.get().equals(base)) {
                return Single.error(new ApplyConflictException(base, stored.changesSince(expected.get())));
            }
            final Attempt attempt = attempt(stored, desired, writeIds.get());
            if (attempt.changes().isEmpty()) {
                return Single.just(new ApplyResult(base, List.of()));
            }
            return write(stored, attempt);
        });
    }

    private Single<StoredCatalogue> readStored() {
        return retrying(Single.defer(() -> reader.read(lastSnapshot)))
                .doOnSuccess(stored -> lastSnapshot = stored.snapshot());
    }

    private static Revision next(final Snapshot snapshot) {
        return new Revision(snapshot.revision().value() + 1);
    }

    private static Attempt attempt(final StoredCatalogue stored, final Catalogue desired, final String writeId) {
        final SortedMap<EntryKey, CatalogueEntry> before = stored.snapshot().entries();
        final SortedMap<EntryKey, CatalogueEntry> after = new TreeMap<>();
        final Revision next = next(stored.snapshot());
        EntryEncoder.encode(desired).forEach((key, entry) -> after.put(key, stamped(before.get(key), entry, next)));
        final List<EntryChange> changes = EntryChange.between(before, after, next);
        return new Attempt(Snapshot.of(next, after, stored.snapshot()), changes, writeId);
    }

    private static CatalogueEntry stamped(
            final CatalogueEntry before, final CatalogueEntry entry, final Revision revision) {
        if (before != null && EntryChange.sameValue(before, entry)) {
            return before;
        }
        return entry.toBuilder().setChangedIn(revision.value()).build();
    }

    private Single<ApplyResult> write(final StoredCatalogue stored, final Attempt attempt) {
        final Set<ContentHash> present =
                stored.snapshot().chunks().stream().map(Chunk::hash).collect(Collectors.toSet());
        final Set<ContentHash> queued = new HashSet<>(present);
        final Flowable<ByteString> missing = Flowable.fromIterable(
                        attempt.snapshot().chunks())
                .filter(chunk -> queued.add(chunk.hash()))
                .map(Chunk::content)
                .concatWith(Flowable.just(attempt.snapshot().index()));
        return missing.flatMapCompletable(this::writeContent, false, WRITES_IN_FLIGHT)
                .andThen(swapHead(stored, attempt, 1))
                .doOnSuccess(headRevision -> lastSnapshot = attempt.snapshot())
                .flatMap(headRevision -> collector
                        .collect(stored.snapshot(), attempt.snapshot(), headRevision)
                        .onErrorComplete()
                        .andThen(Single.just(new ApplyResult(attempt.snapshot().revision(), attempt.changes()))));
    }

    private Completable writeContent(final ByteString content) {
        if (content.size() > MAX_VALUE_BYTES) {
            return Completable.error(new CorruptCatalogueException(
                    "content exceeds the maximum value size of " + MAX_VALUE_BYTES + " bytes"));
        }
        final String key = CatalogueReader.contentKey(ContentHash.of(content));
        final Single<Long> write = store.compareAndSwap(key, KeyValueStore.ABSENT, content, Optional.empty())
                .onErrorResumeNext(
                        error -> isReason(error, Reason.CONFLICT) ? rewrite(key, content) : Single.error(error));
        return retrying(write).ignoreElement();
    }

    private Single<Long> rewrite(final String key, final ByteString content) {
        return store.read(key).flatMap(entry -> {
            final long revision = entry.map(found -> found.revision()).orElse(KeyValueStore.ABSENT);
            return store.compareAndSwap(key, revision, content, Optional.empty());
        });
    }

    private Single<Long> swapHead(final StoredCatalogue stored, final Attempt attempt, final int number) {
        return Single.defer(() -> store.compareAndSwap(
                        CatalogueReader.HEAD_KEY,
                        stored.headRevision(),
                        newHead(stored.head(), attempt).toByteString(),
                        Optional.empty()))
                .onErrorResumeNext(error -> afterFailedSwap(stored, attempt, number, error));
    }

    private Single<Long> afterFailedSwap(
            final StoredCatalogue stored, final Attempt attempt, final int number, final Throwable error) {
        if (!(error instanceof KeyValueException)) {
            return Single.error(error);
        }
        return timers.after(RETRY_DELAY)
                .andThen(retrying(Single.defer(() -> reader.read(attempt.snapshot()))))
                .flatMap(current -> {
                    if (current.recordsWrite(attempt.writeId())) {
                        return Single.just(current.headRevision());
                    }
                    if (current.headRevision() != stored.headRevision()) {
                        return Single.error(new ApplyConflictException(
                                current.snapshot().revision(),
                                current.changesSince(stored.snapshot().revision())));
                    }
                    return number < MAX_ATTEMPTS ? swapHead(stored, attempt, number + 1) : Single.error(error);
                });
    }

    private static CatalogueHead newHead(final CatalogueHead before, final Attempt attempt) {
        final long revision = attempt.snapshot().revision().value();
        final CatalogueHead.Builder head = CatalogueHead.newBuilder()
                .setRevision(revision)
                .setIndex(attempt.snapshot().indexHash().bytes());
        head.addAllWrites(latest(before.getWritesList(), MAX_RECORDED_WRITES - 1));
        head.addWrites(WriteRecord.newBuilder().setRevision(revision).setWriteId(attempt.writeId()));
        final List<RemovedEntry> removed = attempt.changes().stream()
                .filter(change -> change.kind() == EntryChange.Kind.REMOVED)
                .limit(MAX_RECORDED_REMOVALS)
                .map(change -> RemovedEntry.newBuilder()
                        .setKey(change.key().value())
                        .setRevision(revision)
                        .build())
                .toList();
        head.addAllRemoved(latest(before.getRemovedList(), MAX_RECORDED_REMOVALS - removed.size()));
        return head.addAllRemoved(removed).build();
    }

    private static <T> List<T> latest(final List<T> items, final int count) {
        return items.subList(Math.max(0, items.size() - count), items.size());
    }

    private <T> Single<T> retrying(final Single<T> call) {
        return call.retryWhen(errors -> errors.zipWith(
                        Flowable.range(1, MAX_ATTEMPTS),
                        (error, number) -> number < MAX_ATTEMPTS && isRetryable(error)
                                ? timers.after(RETRY_DELAY).toFlowable()
                                : Flowable.<Object>error(error))
                .concatMap(delay -> delay.defaultIfEmpty(new Object())));
    }

    private static boolean isRetryable(final Throwable error) {
        return error instanceof KeyValueException || error instanceof CorruptCatalogueException;
    }

    private static boolean isReason(final Throwable error, final Reason reason) {
        return error instanceof KeyValueException failure && failure.reason() == reason;
    }

    /** A new snapshot with its changes and the id of its write. Immutable and thread-safe. */
    private record Attempt(Snapshot snapshot, List<EntryChange> changes, String writeId) {}
}
