package org.balsambank.core.idempotency;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.idempotency.LogSegment;

/**
 * Writes a segment and repeats until it is known whether the write took effect.
 *
 * <p>Invariant: after a lost response the value is read again and recognized by its write id; a write is repeated only
 * with the same content and the same expected revision. Confined to the decision loop.
 */
final class SegmentWriter {
    /** The counter of the bytes written to the key-value service. */
    static final String WRITTEN_BYTES = "balsambank.idempotency.written.bytes";

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final KeyValueStore store;
    private final TimerService timer;
    private final BooleanSupplier mayAct;
    private final Counter writes;
    private final Counter writtenBytes;
    private final Counter rereads;

    /**
     * Creates a writer.
     *
     * @param store the key-value service
     * @param timer the clock and timers
     * @param mayAct whether this VM owns the log at this instant
     * @param registry the registry of the counters
     */
    SegmentWriter(
            final KeyValueStore store,
            final TimerService timer,
            final BooleanSupplier mayAct,
            final MeterRegistry registry) {
        this.store = Objects.requireNonNull(store);
        this.timer = Objects.requireNonNull(timer);
        this.mayAct = Objects.requireNonNull(mayAct);
        this.writes = registry.counter("balsambank.idempotency.writes");
        this.writtenBytes = registry.counter(WRITTEN_BYTES);
        this.rereads = registry.counter("balsambank.idempotency.rereads");
    }

    /**
     * Writes a segment.
     *
     * @param key the key to write
     * @param expectedRevision the expected revision of the key
     * @param segment the new value of the key
     * @return the new revision; fails with {@link FencedException} if another VM has written the key or owns the log
     */
    Single<Long> write(final String key, final long expectedRevision, final LogSegment segment) {
        return writeOnce(key, expectedRevision, segment).retryWhen(this::retryAfterDelay);
    }

    /**
     * Reads a value and retries until the service responds.
     *
     * @param key the key to read
     * @return the entry if the key exists; fails with {@link FencedException} if another VM owns the log
     */
    Single<Optional<KeyValueEntry>> read(final String key) {
        return Single.defer(() -> requireOwner().flatMap(owner -> store.read(key)))
                .retryWhen(this::retryAfterDelay);
    }

    /**
     * Delays the retry of a call that failed in the key-value service.
     *
     * @param errors the failures of the call
     * @return emits for each retry; fails if the error is not from the key-value service
     */
    Flowable<Boolean> retryAfterDelay(final Flowable<Throwable> errors) {
        return errors.concatMap(error -> error instanceof KeyValueException
                ? timer.after(RETRY_DELAY).andThen(Flowable.just(true))
                : Flowable.error(error));
    }

    private Single<Long> writeOnce(final String key, final long expectedRevision, final LogSegment segment) {
        return Single.defer(() -> requireOwner().flatMap(owner -> {
                    writes.increment();
                    writtenBytes.increment(segment.getSerializedSize());
                    return store.compareAndSwap(key, expectedRevision, segment.toByteString(), Optional.empty());
                }))
                .onErrorResumeNext(error -> inDoubt(error)
                        ? checkResult(key, expectedRevision, segment, (KeyValueException) error)
                        : Single.error(error));
    }

    private Single<Long> checkResult(
            final String key, final long expectedRevision, final LogSegment segment, final KeyValueException cause) {
        rereads.increment();
        return read(key).flatMap(entry -> {
            final long revision = entry.map(KeyValueEntry::revision).orElse(KeyValueStore.ABSENT);
            if (entry.isPresent()
                    && LogSegment.parseFrom(entry.get().value()).getWriteId().equals(segment.getWriteId())) {
                return Single.just(revision);
            }
            return revision == expectedRevision
                    ? Single.error(cause)
                    : Single.error(
                            new FencedException(FencedException.Cause.OTHER_WRITE, key + " has revision " + revision));
        });
    }

    private Single<Boolean> requireOwner() {
        return mayAct.getAsBoolean()
                ? Single.just(true)
                : Single.error(new FencedException(FencedException.Cause.NOT_OWNER, "this VM does not own the log"));
    }

    private static boolean inDoubt(final Throwable error) {
        return error instanceof KeyValueException known
                && (known.reason() == Reason.UNKNOWN || known.reason() == Reason.CONFLICT);
    }
}
