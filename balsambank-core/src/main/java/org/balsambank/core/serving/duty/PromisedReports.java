package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

import com.google.protobuf.ByteString;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.PromisedReport;

/**
 * The bodies that were promised for windows of usage, as known to this VM.
 *
 * <p>A promise is stored in the key-value service, without a lease. One that this VM knows and that the service has
 * lost is stored again by the VM that comes first for its key, and by further VMs after a delay. Invariant: a body
 * never replaces another one; a window for which two bodies are known is marked, and nothing is sent for it. Confined
 * to the decision loop.
 */
final class PromisedReports {
    private static final String PREFIX = "serving/usage/";
    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int MAX_PROMISES = 1_024;
    private static final long DELAY_PER_RANK_NANOS = Duration.ofMillis(400).toNanos();
    private static final long RETRY_NANOS = Duration.ofMillis(700).toNanos();
    private static final int MAX_DELETIONS_PER_STEP = 2;

    private final KeyValueStore store;
    private final ToIntFunction<String> rank;
    private final TimerService timer;
    private final DecisionLog log;
    private final Runnable onConflict;
    private final TreeMap<Long, Promise> promises = new TreeMap<>();
    private final Map<Long, Long> deletionAttempts = new HashMap<>();
    private long firstInTime;
    private long firstKept;
    private long changes;

    /**
     * Creates an instance without promises.
     *
     * @param store the key-value service
     * @param rank the number of VMs that come before this one for a key
     * @param timer supplies the monotonic time
     * @param log the decision log; gets a line for each promise that is stored again and each conflict
     * @param onConflict called for each window for which two bodies are known
     */
    PromisedReports(
            final KeyValueStore store,
            final ToIntFunction<String> rank,
            final TimerService timer,
            final DecisionLog log,
            final Runnable onConflict) {
        this.store = Objects.requireNonNull(store);
        this.rank = Objects.requireNonNull(rank);
        this.timer = Objects.requireNonNull(timer);
        this.log = Objects.requireNonNull(log);
        this.onConflict = Objects.requireNonNull(onConflict);
    }

    /** Returns whether a key holds a promise. */
    static boolean isKey(final String key) {
        return key.startsWith(PREFIX);
    }

    /** Returns the key of the promise for a window. */
    static String key(final long window) {
        return PREFIX + window;
    }

    /** Applies a change of a promise that the key-value service reported. */
    void changed(final KeyValueChange change) {
        final long window;
        try {
            window = Long.parseLong(change.key().substring(PREFIX.length()));
        } catch (final NumberFormatException e) {
            log.line("usage_promise_ignored").with("key", change.key()).write();
            return;
        }
        if (change.value().isPresent()) {
            stored(window, change.value().get(), change.revision());
        } else {
            missing(window);
        }
    }

    /** Records that a body is stored for a window. */
    void stored(final long window, final ByteString body, final long revision) {
        add(window, body).ifPresent(promise -> {
            if (promise.body.equals(body)) {
                promise.stored = true;
            }
            promise.revision = revision;
        });
    }

    /** Records a promise that another VM knows. */
    void learned(final PromisedReport report) {
        if (report.getWindow() >= firstInTime) {
            add(report.getWindow(), report.getBody());
        }
    }

    /**
     * Records a body that this VM promises to the other VMs while none of them can reach the key-value service.
     *
     * @param window the window
     * @param body the body
     */
    void promiseToVms(final long window, final ByteString body) {
        add(window, body);
    }

    private Optional<Promise> add(final long window, final ByteString body) {
        final Promise known = promises.get(window);
        if (known != null) {
            if (!known.body.equals(body) && !known.conflict) {
                known.conflict = true;
                onConflict.run();
                log.line("usage_conflict").with("window", window).write();
            }
            return Optional.of(known);
        }
        if (window < 0 || body.size() > MAX_BODY_BYTES || promises.size() >= MAX_PROMISES) {
            return Optional.empty();
        }
        final Promise promise = new Promise(body, timer.nanoTime());
        promises.put(window, promise);
        changes++;
        return Optional.of(promise);
    }

    /** Returns the promise for a window. */
    Optional<Promise> find(final long window) {
        return Optional.ofNullable(promises.get(window));
    }

    /** Returns a number that rises with each new promise. */
    long changes() {
        return changes;
    }

    /** Returns the promises that are still in time, for another VM. */
    List<PromisedReport> report() {
        return promises.tailMap(firstInTime).entrySet().stream()
                .map(each -> PromisedReport.newBuilder()
                        .setWindow(each.getKey())
                        .setBody(each.getValue().body)
                        .build())
                .toList();
    }

    /**
     * Stores promises that the key-value service has lost, and drops those that are long past.
     *
     * @param inTime the first window whose report would still be in time
     * @param kept the first window that is not long past
     */
    void step(final long inTime, final long kept) {
        firstInTime = inTime;
        firstKept = kept;
        promises.headMap(kept).values().removeIf(promise -> promise.revision == KeyValueStore.ABSENT);
        promises.tailMap(inTime).forEach((window, promise) -> {
            final long waitNanos = rank.applyAsInt(key(window)) * DELAY_PER_RANK_NANOS;
            final long now = timer.nanoTime();
            final boolean due = now - promise.missingSinceNanos >= waitNanos
                    && now - promise.attemptedNanos >= RETRY_NANOS
                    && promise.revision == KeyValueStore.ABSENT;
            if (!promise.stored && due) {
                store(window, promise);
            }
        });
    }

    private void store(final long window, final Promise promise) {
        promise.attemptedNanos = timer.nanoTime();
        store.compareAndSwap(key(window), KeyValueStore.ABSENT, promise.body, Optional.empty())
                .subscribe(
                        revision -> {
                            log.line("usage_promise_restored")
                                    .with("window", window)
                                    .with("revision", revision)
                                    .write();
                            stored(window, promise.body, revision);
                        },
                        error -> reload(window));
    }

    /** Reads what is stored for a window, after a write whose outcome is unknown or that was too late. */
    void reload(final long window) {
        store.read(key(window))
                .subscribe(
                        entry -> entry.ifPresentOrElse(
                                found -> stored(window, found.value(), found.revision()), () -> missing(window)),
                        error -> log.line("usage_promise_not_read")
                                .with("window", window)
                                .with("reason", String.valueOf(error.getMessage()))
                                .write());
    }

    private void missing(final long window) {
        Optional.ofNullable(promises.get(window)).ifPresent(promise -> promise.removed(timer.nanoTime()));
    }

    /** Counts the promises that are still in time as lost, until the key-value service shows them in its new era. */
    void beginEra() {
        promises.tailMap(firstInTime).values().forEach(promise -> promise.removed(timer.nanoTime()));
    }

    /** Deletes the keys of windows that are long past, a few at a time; called by the holder of the duty. */
    void deletePast() {
        final long now = timer.nanoTime();
        deletionAttempts.values().removeIf(since -> now - since > RETRY_NANOS);
        promises.headMap(firstKept).entrySet().stream()
                .filter(each -> each.getValue().revision != KeyValueStore.ABSENT)
                .filter(each -> !deletionAttempts.containsKey(each.getKey()))
                .limit(MAX_DELETIONS_PER_STEP)
                .toList()
                .forEach(each -> delete(each.getKey(), each.getValue()));
    }

    private void delete(final long window, final Promise promise) {
        deletionAttempts.put(window, timer.nanoTime());
        store.delete(key(window), promise.revision).subscribe(() -> promise.removed(timer.nanoTime()), error -> {
            log.line("usage_promise_not_deleted")
                    .with("window", window)
                    .with("reason", String.valueOf(error.getMessage()))
                    .write();
            reload(window);
        });
    }

    /** The body that was promised for a window. Confined to the decision loop. */
    static final class Promise {
        private final ByteString body;
        private final long sinceNanos;
        private boolean stored;
        private boolean conflict;
        private long revision = KeyValueStore.ABSENT;
        private long missingSinceNanos;
        private long attemptedNanos;

        /** Creates a promise that is not stored. */
        private Promise(final ByteString body, final long nowNanos) {
            this.body = Objects.requireNonNull(body);
            sinceNanos = nowNanos;
            missingSinceNanos = nowNanos;
            attemptedNanos = nowNanos - RETRY_NANOS;
        }

        /** Records that the key-value service has no body for the window any more. */
        private void removed(final long nowNanos) {
            stored = false;
            revision = KeyValueStore.ABSENT;
            missingSinceNanos = nowNanos;
        }

        /** Returns the exact body. */
        ByteString body() {
            return body;
        }

        /** Returns whether the key-value service has exactly this body. */
        boolean stored() {
            return stored && !conflict;
        }

        /** Returns whether another body is known for the same window. */
        boolean conflict() {
            return conflict;
        }

        /** Returns when this VM learned of the promise, on the monotonic clock. */
        long sinceNanos() {
            return sinceNanos;
        }
    }
}
