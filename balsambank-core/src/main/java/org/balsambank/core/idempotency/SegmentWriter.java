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
 * Writes one value until it is surely kept or surely not.
 *
 * <p>Invariant: after a lost answer the value is read again and found by its write id; a write is repeated only with
 * the same content and the same expected revision. Confined to the decision loop.
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
     * @param timer gives the time
     * @param mayAct tells whether this VM owns the log at this instant
     * @param registry counts writes
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
     * Writes a value.
     *
     * @param key the key
     * @param expectedRevision the revision that the key has
     * @param segment the value
     * @return the new revision; fails with {@link FencedException} if another VM has written the key or owns the log
     */
    Single<Long> write(final String key, final long expectedRevision, final LogSegment segment) {
        return attempt(key, expectedRevision, segment).retryWhen(this::afterDelay);
    }

    /**
     * Reads a value until the service answers.
     *
     * @param key the key
     * @return the entry, if there is one; fails with {@link FencedException} if another VM owns the log
     */
    Single<Optional<KeyValueEntry>> read(final String key) {
        return Single.defer(() -> checked().flatMap(owner -> store.read(key))).retryWhen(this::afterDelay);
    }

    /**
     * Waits between two tries of a call that the service did not answer.
     *
     * @param errors the failures of the call
     * @return emits when the call is to be tried again; fails if it is not
     */
    Flowable<Boolean> afterDelay(final Flowable<Throwable> errors) {
        return errors.concatMap(error -> error instanceof KeyValueException
                ? timer.after(RETRY_DELAY).andThen(Flowable.just(true))
                : Flowable.error(error));
    }

    private Single<Long> attempt(final String key, final long expectedRevision, final LogSegment segment) {
        return Single.defer(() -> checked().flatMap(owner -> {
                    writes.increment();
                    writtenBytes.increment(segment.getSerializedSize());
                    return store.compareAndSwap(key, expectedRevision, segment.toByteString(), Optional.empty());
                }))
                .onErrorResumeNext(error -> inDoubt(error)
                        ? find(key, expectedRevision, segment, (KeyValueException) error)
                        : Single.error(error));
    }

    private Single<Long> find(
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

    private Single<Boolean> checked() {
        return mayAct.getAsBoolean()
                ? Single.just(true)
                : Single.error(new FencedException(FencedException.Cause.NOT_OWNER, "this VM does not own the log"));
    }

    private static boolean inDoubt(final Throwable error) {
        return error instanceof KeyValueException known
                && (known.reason() == Reason.UNKNOWN || known.reason() == Reason.CONFLICT);
    }
}
