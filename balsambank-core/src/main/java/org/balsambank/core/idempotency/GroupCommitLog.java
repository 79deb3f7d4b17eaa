package org.balsambank.core.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.balsambank.core.id.Epoch;
import org.balsambank.core.idempotency.FencedException.Cause;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueSnapshot;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.idempotency.LogRecord;
import org.balsambank.protocol.generated.idempotency.LogSegment;

/**
 * The log of one shard in one epoch, made up of an open segment that each write replaces and of closed segments.
 *
 * <p>Invariants: at most one write is in flight; each write replaces the open segment at the revision that this log has
 * last read or written, so that of two owners at most one can append entries; an entry takes effect only after the
 * write that contains it is known to be committed. Confined to the decision loop.
 */
final class GroupCommitLog {
    private static final int MAX_GROUP_BYTES = 256 << 10;

    private final int shard;
    private final Epoch epoch;
    private final KeyValueStore store;
    private final SegmentWriter writer;
    private final TimerService timer;
    private final IdempotencySettings settings;
    private final String writerId;
    private final Deque<Pending> pending = new ArrayDeque<>();
    private final Deque<ClosedSegment> closed = new ArrayDeque<>();
    private List<LogRecord> open = List.of();
    private long openRevision;
    private long writeNumber;
    private boolean writing;
    private boolean fenced;

    /**
     * Creates a log that is not open yet.
     *
     * @param shard the shard
     * @param epoch the epoch in which this VM owns the shard
     * @param store the key-value service
     * @param writer the writer of segments
     * @param timer the clock and timers
     * @param settings the idempotency settings
     * @param writerId unique in the fleet for each log object
     */
    GroupCommitLog(
            final int shard,
            final Epoch epoch,
            final KeyValueStore store,
            final SegmentWriter writer,
            final TimerService timer,
            final IdempotencySettings settings,
            final String writerId) {
        this.shard = shard;
        this.epoch = Objects.requireNonNull(epoch);
        this.store = Objects.requireNonNull(store);
        this.writer = Objects.requireNonNull(writer);
        this.timer = Objects.requireNonNull(timer);
        this.settings = Objects.requireNonNull(settings);
        this.writerId = Objects.requireNonNull(writerId);
    }

    /**
     * Reads the log.
     *
     * @return the entries in the order in which they were written, with possible duplicates; fails with
     *     {@link FencedException} if an owner of a later epoch has written the log
     */
    Single<List<LogRecord>> open() {
        return writer.read(LogKeys.head(shard))
                .doOnSuccess(this::readOpenSegment)
                .flatMap(read -> store.list(LogKeys.segments(shard)).retryWhen(writer::retryAfterDelay))
                .map(this::readClosedSegments);
    }

    /**
     * Appends an entry.
     *
     * @param entry the entry to commit
     * @return completes when the entry is committed; fails with {@link FencedException} if another VM has taken over
     */
    Completable append(final LogRecord entry) {
        if (fenced) {
            return Completable.error(fenced(Cause.LATER_EPOCH));
        }
        final Pending item = new Pending(entry, CompletableSubject.create());
        pending.add(item);
        writeNext();
        return item.committed();
    }

    /**
     * Returns the number of entries that wait for a write.
     *
     * @return the number, without the entries of a write in flight
     */
    int pending() {
        return pending.size();
    }

    /**
     * Removes the oldest closed segment if all its entries are older than the retention.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the removed entries, empty if nothing was removed
     */
    Single<List<LogRecord>> removeExpired(final long nowMillis) {
        final ClosedSegment oldest = closed.peek();
        if (oldest == null
                || fenced
                || nowMillis - oldest.newestMillis() <= settings.retention().toMillis()) {
            return Single.just(List.of());
        }
        return store.delete(oldest.key(), oldest.revision())
                .onErrorComplete(GroupCommitLog::isGone)
                .andThen(Single.fromCallable(() -> {
                    closed.remove(oldest);
                    return oldest.records();
                }))
                .onErrorReturnItem(List.of());
    }

    /**
     * Returns whether the log is closed.
     *
     * @return true if entries can no longer be appended
     */
    boolean isClosed() {
        return fenced;
    }

    /** Closes the log and fails all pending entries. */
    void close() {
        fenced = true;
        final List<Pending> failed = List.copyOf(pending);
        pending.clear();
        failed.forEach(item -> item.committed().onError(fenced(Cause.LATER_EPOCH)));
    }

    private void readOpenSegment(final Optional<KeyValueEntry> entry)
            throws FencedException, InvalidProtocolBufferException {
        final LogSegment segment =
                entry.isPresent() ? LogSegment.parseFrom(entry.get().value()) : LogSegment.getDefaultInstance();
        if (segment.getEpoch() > epoch.value()) {
            throw fenced(Cause.LATER_EPOCH);
        }
        open = segment.getRecordsList();
        openRevision = entry.map(KeyValueEntry::revision).orElse(KeyValueStore.ABSENT);
    }

    private FencedException fenced(final Cause cause) {
        return new FencedException(cause, "shard " + shard);
    }

    private static boolean isGone(final Throwable error) {
        return error instanceof KeyValueException known && known.reason() == KeyValueException.Reason.CONFLICT;
    }

    private List<LogRecord> readClosedSegments(final KeyValueSnapshot snapshot) throws InvalidProtocolBufferException {
        final List<LogRecord> all = new ArrayList<>();
        for (final KeyValueEntry entry : snapshot.entries()) {
            final List<LogRecord> records = LogSegment.parseFrom(entry.value()).getRecordsList();
            closed.add(new ClosedSegment(entry.key(), entry.revision(), records));
            all.addAll(records);
        }
        all.addAll(open);
        return all;
    }

    private void writeNext() {
        if (writing || pending.isEmpty() || fenced) {
            return;
        }
        writing = true;
        final List<Pending> group = new ArrayList<>();
        closeSegmentIfFull()
                .andThen(Single.defer(() -> {
                    takeGroup(group);
                    final List<LogRecord> records = new ArrayList<>(open);
                    group.forEach(item -> records.add(item.entry()));
                    return writer.write(LogKeys.head(shard), openRevision, segment(records))
                            .doOnSuccess(revision -> replaceOpen(revision, records));
                }))
                .subscribe(revision -> onWritten(group), error -> onFailed(group));
    }

    private void takeGroup(final List<Pending> group) {
        int bytes = 0;
        while (!pending.isEmpty() && (group.isEmpty() || bytes < MAX_GROUP_BYTES)) {
            final Pending next = pending.poll();
            bytes += next.entry().getSerializedSize();
            group.add(next);
        }
    }

    private Completable closeSegmentIfFull() {
        final LogSegment full = segment(open);
        if (open.isEmpty() || full.getSerializedSize() < settings.segmentBytes()) {
            return Completable.complete();
        }
        final String key = LogKeys.segment(shard, openRevision);
        return writer.write(key, KeyValueStore.ABSENT, full)
                .onErrorResumeNext(error -> revisionIfClosedBefore(key, error))
                .doOnSuccess(revision -> {
                    closed.add(new ClosedSegment(key, revision, open));
                    open = List.of();
                })
                .ignoreElement();
    }

    private Single<Long> revisionIfClosedBefore(final String key, final Throwable error) {
        return error instanceof FencedException cause && cause.reason() == Cause.OTHER_WRITE
                ? writer.read(key)
                        .map(entry -> entry.map(KeyValueEntry::revision).orElse(KeyValueStore.ABSENT))
                : Single.error(error);
    }

    private void replaceOpen(final long revision, final List<LogRecord> records) {
        openRevision = revision;
        open = records;
    }

    private void onWritten(final List<Pending> group) {
        group.forEach(item -> item.committed().onComplete());
        timer.after(settings.writeInterval())
                .subscribe(
                        () -> {
                            writing = false;
                            writeNext();
                        },
                        error -> close());
    }

    private void onFailed(final List<Pending> group) {
        pending.addAll(group);
        close();
    }

    private LogSegment segment(final List<LogRecord> records) {
        writeNumber++;
        return LogSegment.newBuilder()
                .setEpoch(epoch.value())
                .setWriteId(writerId + "-" + writeNumber)
                .addAllRecords(records)
                .build();
    }

    /** An entry that is not committed yet. */
    private record Pending(LogRecord entry, CompletableSubject committed) {}

    /** A closed segment. */
    private record ClosedSegment(String key, long revision, List<LogRecord> records) {
        private long newestMillis() {
            return records.stream().mapToLong(LogRecord::getTimeMillis).max().orElse(0);
        }
    }
}
