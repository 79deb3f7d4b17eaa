package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Completable;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.StoreRevision;
import org.balsambank.core.supervise.Component;
import org.balsambank.core.time.TimerService;

/**
 * Saves evidence against what crashes targets in the key-value service, so that it outlasts the VMs that observed the
 * crashes.
 *
 * <p>One key per subject, without a lease. The VM that observed a crash writes it at once; whatever is missing,
 * outdated or void after that is written or deleted by the VM that decides about the subject. A VM that starts loads
 * what was saved before it serves.
 *
 * <p>In a new era of the key-value service, what its copy lacks is written again in the same way; a key that is missing
 * there is no reason to drop evidence.
 *
 * <p>Invariants: evidence that was read is part of what this VM knows, so that a write never removes crashes that
 * others have saved; at most {@value #MAX_CALLS_PER_CHECK} calls per check. Confined to the decision loop.
 */
public abstract class SavedEvidence implements Component {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    private static final Duration LOAD_RETRY_DELAY = Duration.ofSeconds(2);
    private static final long RETRY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_CALLS_PER_CHECK = 4;

    private final String prefix;
    private final KeyValueStore store;
    private final Predicate<String> decides;
    private final TimerService timer;
    private final DecisionLog log;
    private final Map<String, Saved> saved = new HashMap<>();
    private final Set<String> observed = new HashSet<>();
    private final Map<String, Long> attemptedAt = new HashMap<>();

    /**
     * Creates an instance that has neither loaded nor saved anything.
     *
     * @param prefix the prefix of the keys
     * @param store the key-value service
     * @param decides whether this VM decides about a subject
     * @param timer the timer service
     * @param log the decision log; gets a line for each key that is loaded, saved or deleted, and for each failure
     */
    protected SavedEvidence(
            final String prefix,
            final KeyValueStore store,
            final Predicate<String> decides,
            final TimerService timer,
            final DecisionLog log) {
        this.prefix = Objects.requireNonNull(prefix);
        this.store = Objects.requireNonNull(store);
        this.decides = Objects.requireNonNull(decides);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
    }

    /**
     * Returns the evidence that must be saved.
     *
     * @return the values by subject
     */
    protected abstract Map<String, ByteString> evidence();

    /**
     * Returns the subjects whose evidence was changed by requests of this VM since the last call.
     *
     * @return the subjects
     */
    protected abstract Set<String> drainObserved();

    /**
     * Returns whether a saved value holds all evidence of another.
     *
     * @param savedValue the saved value
     * @param current the value to save
     * @return false if the value must be saved
     * @throws InvalidProtocolBufferException if the saved value can't be read
     */
    protected abstract boolean upToDate(ByteString savedValue, ByteString current)
            throws InvalidProtocolBufferException;

    /**
     * Adds saved evidence to what this VM knows.
     *
     * @param value the saved value
     * @throws InvalidProtocolBufferException if the value can't be read; nothing was added
     */
    protected abstract void load(ByteString value) throws InvalidProtocolBufferException;

    /**
     * Drops the evidence about a subject, as the VM that decides about it has.
     *
     * @param subject the subject
     */
    protected abstract void forget(String subject);

    @Override
    public Completable run() {
        return timer.every(CHECK_INTERVAL).doOnNext(tick -> check()).ignoreElements();
    }

    /**
     * Returns whether a key holds evidence of this kind.
     *
     * @param key the key
     * @return true if it has the prefix
     */
    public boolean isKey(final String key) {
        return key.startsWith(prefix);
    }

    /**
     * Loads all saved evidence and runs the component, for a VM that has no replica of the key-value service.
     *
     * @return fails when the component fails
     */
    Completable loadAndRun() {
        return store.list(prefix)
                .doOnSuccess(snapshot -> snapshot.entries().forEach(this::loaded))
                .ignoreElement()
                .retryWhen(errors -> errors.flatMapSingle(
                        error -> timer.after(LOAD_RETRY_DELAY).toSingleDefault(true)))
                .andThen(run());
    }

    /**
     * Applies a change that the key-value service reported.
     *
     * @param change the change of a key with the prefix
     */
    public void changed(final KeyValueChange change) {
        final String subject = change.key().substring(prefix.length());
        final Saved known = saved.get(subject);
        if (known != null && known.revision >= change.revision()) {
            return;
        }
        if (change.value().isEmpty()) {
            saved.remove(subject);
            if (known == null || StoreRevision.era(known.revision) == StoreRevision.era(change.revision())) {
                forget(subject);
            }
            return;
        }
        final ByteString value = change.value().get();
        saved.put(subject, new Saved(change.revision(), value));
        try {
            load(value);
            line("evidence_loaded", subject).with("revision", change.revision()).write();
        } catch (final InvalidProtocolBufferException | IllegalArgumentException e) {
            line("evidence_unreadable", subject)
                    .with("revision", change.revision())
                    .write();
        }
    }

    /**
     * Forgets what was saved in earlier eras, as the key-value service has entered a new one and all that it shows
     * there was applied.
     *
     * @param era the era
     */
    public void beginEra(final long era) {
        saved.values().removeIf(each -> StoreRevision.era(each.revision) < era);
    }

    private void loaded(final KeyValueEntry entry) {
        changed(new KeyValueChange(entry.key(), Optional.of(entry.value()), entry.revision()));
    }

    private void check() {
        final Map<String, ByteString> evidence = evidence();
        observed.addAll(drainObserved());
        observed.retainAll(evidence.keySet());
        attemptedAt.keySet().removeIf(this::retryDue);
        int calls = 0;
        for (final Map.Entry<String, ByteString> each : evidence.entrySet()) {
            if (calls < MAX_CALLS_PER_CHECK && needsSave(each.getKey(), each.getValue())) {
                calls++;
                save(each.getKey(), each.getValue());
            }
        }
        for (final String subject : Set.copyOf(saved.keySet())) {
            if (calls < MAX_CALLS_PER_CHECK && !evidence.containsKey(subject) && mayCall(subject)) {
                calls++;
                delete(subject);
            }
        }
    }

    private boolean retryDue(final String subject) {
        return timer.nanoTime() - attemptedAt.get(subject) >= RETRY_INTERVAL_NANOS;
    }

    private boolean mayCall(final String subject) {
        return !attemptedAt.containsKey(subject) && (observed.contains(subject) || decides.test(subject));
    }

    private boolean needsSave(final String subject, final ByteString current) {
        final Saved known = saved.get(subject);
        if (known != null && holdsAll(known.value, current)) {
            observed.remove(subject);
            return false;
        }
        return mayCall(subject);
    }

    private boolean holdsAll(final ByteString savedValue, final ByteString current) {
        try {
            return upToDate(savedValue, current);
        } catch (final InvalidProtocolBufferException | IllegalArgumentException e) {
            return false;
        }
    }

    private void save(final String subject, final ByteString value) {
        attemptedAt.put(subject, timer.nanoTime());
        final long expected = saved.containsKey(subject) ? saved.get(subject).revision : KeyValueStore.ABSENT;
        store.compareAndSwap(prefix + subject, expected, value, Optional.empty())
                .subscribe(
                        revision -> {
                            saved.put(subject, new Saved(revision, value));
                            line("evidence_saved", subject)
                                    .with("revision", revision)
                                    .write();
                        },
                        error -> failed(subject, error));
    }

    private void delete(final String subject) {
        attemptedAt.put(subject, timer.nanoTime());
        store.delete(prefix + subject, saved.get(subject).revision)
                .subscribe(
                        () -> {
                            saved.remove(subject);
                            line("evidence_deleted", subject).write();
                        },
                        error -> failed(subject, error));
    }

    private void failed(final String subject, final Throwable error) {
        line("evidence_not_saved", subject)
                .with("reason", String.valueOf(error.getMessage()))
                .write();
        if (error instanceof KeyValueException known && known.reason() == KeyValueException.Reason.CONFLICT) {
            reload(subject);
        }
    }

    /** Reads a key that another VM has written or deleted. */
    private void reload(final String subject) {
        store.read(prefix + subject)
                .subscribe(entry -> entry.ifPresentOrElse(this::loaded, () -> saved.remove(subject)), error -> line(
                                "evidence_not_read", subject)
                        .with("reason", String.valueOf(error.getMessage()))
                        .write());
    }

    private DecisionLog.Line line(final String event, final String subject) {
        return log.line(event).with("kind", name()).with("subject", subject);
    }

    /** A value and its revision. Immutable and thread-safe. */
    private record Saved(long revision, ByteString value) {}
}
