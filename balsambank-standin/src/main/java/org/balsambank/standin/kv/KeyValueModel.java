package org.balsambank.standin.kv;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.balsambank.core.time.TimerService;
import org.balsambank.standin.kv.WriteResult.Status;

/**
 * An in-memory key-value store with revisions, compare-and-swap, leases and watches.
 *
 * <p>Invariants: the revision of the store increases by one with each change; the keys of a lease are removed when the
 * lease expires or is revoked. Confined to the event loop of its timer service.
 */
final class KeyValueModel {
    /** The maximum length of a value, in base64 characters. */
    static final int MAX_VALUE_CHARS = (1 << 20) / 3 * 4 + 4;

    private static final int MAX_HISTORY_CHANGES = 200_000;
    private static final String PREFIX_UPPER_BOUND = "\uffff";

    private final TimerService timer;
    private final TreeMap<String, StoredValue> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<KeyChange> history = new ArrayDeque<>();
    private final PublishProcessor<KeyChange> liveChanges = PublishProcessor.create();

    private long revision;
    private long lastLeaseId;

    /**
     * Creates an empty store.
     *
     * @param timer the clock and timers for leases and watches
     */
    KeyValueModel(final TimerService timer) {
        this.timer = Objects.requireNonNull(timer);
    }

    /**
     * Returns the revision of the store.
     *
     * @return the number of changes since the store was created
     */
    long revision() {
        return revision;
    }

    /**
     * Reads one key.
     *
     * @param key the key
     * @return its value, or empty if the key does not exist
     */
    Optional<StoredValue> read(final String key) {
        expireLeases();
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the values by key
     */
    SortedMap<String, StoredValue> list(final String prefix) {
        expireLeases();
        return new TreeMap<>(entries.subMap(prefix, prefix + PREFIX_UPPER_BOUND));
    }

    /**
     * Writes a key if its revision equals the expected one.
     *
     * @param key the key
     * @param expected the expected revision; 0 requires that the key does not exist
     * @param value the value in base64
     * @param lease the lease that the key belongs to, 0 for none
     * @return the status and the revision of the key after the call
     */
    WriteResult write(final String key, final long expected, final String value, final long lease) {
        expireLeases();
        final long current = revisionOf(key);
        if (value.length() > MAX_VALUE_CHARS) {
            return new WriteResult(Status.TOO_LARGE, current);
        }
        if (lease != 0 && !leases.containsKey(lease)) {
            return new WriteResult(Status.LEASE_ENDED, current);
        }
        if (current != expected) {
            return new WriteResult(Status.CONFLICT, current);
        }
        revision++;
        entries.put(key, new StoredValue(value, revision, lease));
        publish(new KeyChange(key, Optional.of(value), revision));
        return new WriteResult(Status.DONE, revision);
    }

    /**
     * Removes a key if its revision equals the expected one; an absent key is a conflict.
     *
     * @param key the key
     * @param expected the expected revision
     * @return the status and the revision of the key after the call
     */
    WriteResult delete(final String key, final long expected) {
        expireLeases();
        final long current = revisionOf(key);
        if (current != expected || current == 0) {
            return new WriteResult(Status.CONFLICT, current);
        }
        remove(key);
        return new WriteResult(Status.DONE, 0);
    }

    /**
     * Grants a new lease.
     *
     * @param timeToLive the time until the lease expires unless it is renewed
     * @return the id of the lease, greater than 0
     */
    long grantLease(final Duration timeToLive) {
        lastLeaseId++;
        leases.put(lastLeaseId, new Lease(timeToLive.toNanos(), timer.nanoTime() + timeToLive.toNanos()));
        return lastLeaseId;
    }

    /**
     * Extends a lease by its full time to live, counted from now.
     *
     * @param id the lease
     * @return false if it has expired or was revoked
     */
    boolean renewLease(final long id) {
        expireLeases();
        final Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        leases.put(id, new Lease(lease.timeToLiveNanos(), timer.nanoTime() + lease.timeToLiveNanos()));
        return true;
    }

    /**
     * Revokes a lease and removes its keys; does nothing if the lease does not exist.
     *
     * @param id the lease
     */
    void revokeLease(final long id) {
        if (leases.remove(id) == null) {
            return;
        }
        final List<String> held = entries.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == id)
                .map(Map.Entry::getKey)
                .toList();
        held.forEach(this::remove);
    }

    /** Revokes the leases that have expired. */
    void expireLeases() {
        final long now = timer.nanoTime();
        final List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiryNanos() - now <= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::revokeLease);
    }

    /**
     * Returns the changes of keys with a prefix, or waits for the first one.
     *
     * <p>Only the latest {@value #MAX_HISTORY_CHANGES} changes of the store are kept; older ones are not returned.
     *
     * @param prefix the prefix
     * @param after only changes with a higher revision are returned
     * @param wait the maximum time to wait if there is no such change yet
     * @return the changes, without elements after a timeout
     */
    Single<WatchResult> watch(final String prefix, final long after, final Duration wait) {
        return Single.defer(() -> {
            expireLeases();
            final List<KeyChange> found = changesAfter(prefix, after);
            if (!found.isEmpty()) {
                return Single.just(new WatchResult(revision, found));
            }
            final Flowable<Long> next = liveChanges
                    .filter(change -> change.key().startsWith(prefix))
                    .map(KeyChange::revision);
            final Flowable<Long> timeout = timer.after(wait).andThen(Flowable.just(revision));
            return Flowable.ambArray(next, timeout)
                    .first(revision)
                    .map(ignored -> new WatchResult(revision, changesAfter(prefix, after)));
        });
    }

    /**
     * Returns the number of leases that are neither expired nor revoked.
     *
     * @return the number of leases as of the last expiry check
     */
    int leaseCount() {
        return leases.size();
    }

    private List<KeyChange> changesAfter(final String prefix, final long after) {
        final List<KeyChange> found = new ArrayList<>();
        for (final var newest = history.descendingIterator(); newest.hasNext(); ) {
            final KeyChange change = newest.next();
            if (change.revision() <= after) {
                break;
            }
            if (change.key().startsWith(prefix)) {
                found.add(0, change);
            }
        }
        return found;
    }

    private long revisionOf(final String key) {
        final StoredValue current = entries.get(key);
        return current == null ? 0 : current.revision();
    }

    private void remove(final String key) {
        entries.remove(key);
        revision++;
        publish(new KeyChange(key, Optional.empty(), revision));
    }

    private void publish(final KeyChange change) {
        history.addLast(change);
        if (history.size() > MAX_HISTORY_CHANGES) {
            history.removeFirst();
        }
        liveChanges.onNext(change);
    }

    /**
     * A granted lease.
     *
     * <p>Immutable and thread-safe.
     *
     * @param timeToLiveNanos the time to live after a grant or a renewal
     * @param expiryNanos when it expires, in the time of the timer service
     */
    private record Lease(long timeToLiveNanos, long expiryNanos) {}
}
