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
 * The log of one shard in one epoch: an open segment that each write replaces, and closed ones.
 *
 * <p>Invariants: at most one write is under way; each replaces the open segment at the revision that this log has read
 * or written last, so that of two owners at most one can add entries; an entry counts only once the write that holds it
 * is surely kept. Confined to the decision loop.
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
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Deque<ClosedSegment> closed = new ArrayDeque<>();
    private List<LogRecord> open = List.of();
    private long openRevision;
    private long writeNumber;
    private boolean writing;
    private boolean fenced;

    /**
     * Creates a log that is not opened yet.
     *
     * @param shard the shard
     * @param epoch the epoch of this VM
     * @param store the key-value service
     * @param writer writes values
     * @param timer gives the time
     * @param settings how records are kept
     * @param writerId unique for each log object in the fleet
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
     * @return the entries in the order in which they were written, some perhaps twice; fails with
     *     {@link FencedException} if a later epoch has begun
     */
    Single<List<LogRecord>> open() {
        return writer.read(LogKeys.head(shard))
                .doOnSuccess(this::readOpenSegment)
                .flatMap(read -> store.list(LogKeys.segments(shard)).retryWhen(writer::afterDelay))
                .map(this::takeOver);
    }

    /**
     * Adds an entry.
     *
     * @param entry the entry
     * @return completes when it is surely kept; fails with {@link FencedException} if another VM has taken over
     */
    Completable append(final LogRecord entry) {
        if (fenced) {
            return Completable.error(fenced(Cause.LATER_EPOCH));
        }
        final Waiting item = new Waiting(entry, CompletableSubject.create());
        waiting.add(item);
        writeNext();
        return item.kept();
    }

    /**
     * Returns how many entries wait to be kept.
     *
     * @return the number
     */
    int waiting() {
        return waiting.size();
    }

    /**
     * Removes closed segments whose entries are all older than the retention.
     *
     * @param nowMillis the time
     * @return the entries that were removed
     */
    Single<List<LogRecord>> removeOld(final long nowMillis) {
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
     * Tells whether the log is closed.
     *
     * @return true once entries can no longer be added
     */
    boolean isClosed() {
        return fenced;
    }

    /** Fails all that waits; the log is not used any more. */
    void close() {
        fenced = true;
        final List<Waiting> failed = List.copyOf(waiting);
        waiting.clear();
        failed.forEach(item -> item.kept().onError(fenced(Cause.LATER_EPOCH)));
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

    private List<LogRecord> takeOver(final KeyValueSnapshot snapshot) throws InvalidProtocolBufferException {
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
        if (writing || waiting.isEmpty() || fenced) {
            return;
        }
        writing = true;
        final List<Waiting> group = new ArrayList<>();
        closeSegmentIfFull()
                .andThen(Single.defer(() -> {
                    takeGroup(group);
                    final List<LogRecord> records = new ArrayList<>(open);
                    group.forEach(item -> records.add(item.entry()));
                    return writer.write(LogKeys.head(shard), openRevision, segment(records))
                            .doOnSuccess(revision -> kept(revision, records));
                }))
                .subscribe(revision -> written(group), error -> failed(group));
    }

    private void takeGroup(final List<Waiting> group) {
        int bytes = 0;
        while (!waiting.isEmpty() && (group.isEmpty() || bytes < MAX_GROUP_BYTES)) {
            final Waiting next = waiting.poll();
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

    private void kept(final long revision, final List<LogRecord> records) {
        openRevision = revision;
        open = records;
    }

    private void written(final List<Waiting> group) {
        group.forEach(item -> item.kept().onComplete());
        timer.after(settings.writeInterval())
                .subscribe(
                        () -> {
                            writing = false;
                            writeNext();
                        },
                        error -> close());
    }

    private void failed(final List<Waiting> group) {
        waiting.addAll(group);
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

    /** An entry that waits to be kept. */
    private record Waiting(LogRecord entry, CompletableSubject kept) {}

    /** A closed segment. */
    private record ClosedSegment(String key, long revision, List<LogRecord> records) {
        private long newestMillis() {
            return records.stream().mapToLong(LogRecord::getTimeMillis).max().orElse(0);
        }
    }
}
