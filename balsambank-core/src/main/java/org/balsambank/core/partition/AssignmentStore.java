package org.balsambank.core.partition;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;

/**
 * Stores the assignment in the key-value service.
 *
 * <p>Confined to the decision loop. A swap completes only when it is known whether it took effect.
 */
final class AssignmentStore {
    /** The key of the assignment. */
    static final String KEY = "ownership/assignment";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final KeyValueStore store;
    private final TimerService timer;
    private final int partitions;

    /**
     * Creates the store.
     *
     * @param store the key-value service
     * @param timer the clock and timers
     * @param partitions the number of partitions of the initial assignment
     */
    AssignmentStore(final KeyValueStore store, final TimerService timer, final int partitions) {
        this.store = Objects.requireNonNull(store);
        this.timer = Objects.requireNonNull(timer);
        this.partitions = partitions;
    }

    /**
     * Reads the assignment.
     *
     * @return the assignment, the empty one if none is stored yet
     */
    Single<StoredAssignment> read() {
        return store.read(KEY).map(this::decode);
    }

    /**
     * Watches the assignment. Retries after failures of the key-value service.
     *
     * @return the current assignment, then each later one
     */
    Flowable<StoredAssignment> follow() {
        final Flowable<StoredAssignment> changes = read().flatMapPublisher(first -> store.watch(KEY, first.revision())
                .filter(change -> change.key().equals(KEY) && change.value().isPresent())
                .map(change -> decode(change.value().get(), change.revision()))
                .startWithItem(first));
        return changes.retryWhen(
                errors -> errors.flatMapSingle(error -> timer.after(RETRY_DELAY).toSingleDefault(true)));
    }

    /**
     * Replaces the assignment if it is still the expected one.
     *
     * @param expected the assignment to replace
     * @param next the new assignment, with a write id that no other attempt has
     * @return the result of the swap; if the response of the write is lost, reads and repeats until the result is
     *     known, without a time limit. Fails only if nothing was written
     */
    Single<SwapResult> swap(final StoredAssignment expected, final Assignment next) {
        return write(expected, next).onErrorResumeNext(error -> {
            final boolean inDoubt = error instanceof KeyValueException known
                    && (known.reason() == Reason.UNKNOWN || known.reason() == Reason.CONFLICT);
            return inDoubt ? resolve(expected, next) : Single.error(error);
        });
    }

    private Single<SwapResult> write(final StoredAssignment expected, final Assignment next) {
        return store.compareAndSwap(KEY, expected.revision(), AssignmentCodec.encode(next), Optional.empty())
                .map(revision -> new SwapResult(true, new StoredAssignment(next, revision)));
    }

    /** Reads until the result of a write is known. If the write has not arrived yet, its repeat replaces it. */
    private Single<SwapResult> resolve(final StoredAssignment expected, final Assignment next) {
        return read().flatMap(stored -> {
                    if (stored.assignment().writeId().equals(next.writeId())) {
                        return Single.just(new SwapResult(true, stored));
                    }
                    if (stored.revision() != expected.revision()) {
                        return Single.just(new SwapResult(false, stored));
                    }
                    LOGGER.atInfo().log("event=swap_repeated version=%d", next.version());
                    return write(expected, next);
                })
                .retryWhen(errors ->
                        errors.flatMapSingle(error -> timer.after(RETRY_DELAY).toSingleDefault(true)));
    }

    private StoredAssignment decode(final Optional<KeyValueEntry> entry) throws InvalidProtocolBufferException {
        if (entry.isEmpty()) {
            return new StoredAssignment(Assignment.empty(partitions), KeyValueStore.ABSENT);
        }
        return decode(entry.get().value(), entry.get().revision());
    }

    private static StoredAssignment decode(final ByteString value, final long revision)
            throws InvalidProtocolBufferException {
        return new StoredAssignment(AssignmentCodec.decode(value), revision);
    }

    /**
     * The result of a swap.
     *
     * @param won true if the new assignment was written
     * @param current the stored assignment, read after the swap or written by it
     */
    record SwapResult(boolean won, StoredAssignment current) {}
}
