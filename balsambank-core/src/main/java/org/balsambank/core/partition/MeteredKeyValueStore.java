package org.balsambank.core.partition;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueSnapshot;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.StoreEra;

/**
 * Counts the calls to another key-value store by method. A watch is counted once per subscription.
 *
 * <p>As thread-safe as the other store.
 */
public final class MeteredKeyValueStore implements KeyValueStore {
    private static final String COUNTER = "balsambank.kv.calls";

    private final KeyValueStore store;
    private final MeterRegistry registry;
    private final String user;

    /**
     * Creates a decorator.
     *
     * @param store the store to delegate to
     * @param registry the registry of the counters
     * @param user the name of the calling component
     */
    public MeteredKeyValueStore(final KeyValueStore store, final MeterRegistry registry, final String user) {
        this.store = Objects.requireNonNull(store);
        this.registry = Objects.requireNonNull(registry);
        this.user = Objects.requireNonNull(user);
    }

    @Override
    public StoreEra era() {
        return store.era();
    }

    @Override
    public Single<Optional<KeyValueEntry>> read(final String key) {
        return store.read(key).doOnSubscribe(ignored -> count("read"));
    }

    @Override
    public Single<KeyValueSnapshot> list(final String prefix) {
        return store.list(prefix).doOnSubscribe(ignored -> count("list"));
    }

    @Override
    public Single<Long> compareAndSwap(
            final String key, final long expectedRevision, final ByteString value, final Optional<LeaseId> lease) {
        return store.compareAndSwap(key, expectedRevision, value, lease).doOnSubscribe(ignored -> count("swap"));
    }

    @Override
    public Completable delete(final String key, final long expectedRevision) {
        return store.delete(key, expectedRevision).doOnSubscribe(ignored -> count("delete"));
    }

    @Override
    public Single<LeaseId> grantLease(final Duration timeToLive) {
        return store.grantLease(timeToLive).doOnSubscribe(ignored -> count("grant"));
    }

    @Override
    public Completable renewLease(final LeaseId lease) {
        return store.renewLease(lease).doOnSubscribe(ignored -> count("renew"));
    }

    @Override
    public Completable revokeLease(final LeaseId lease) {
        return store.revokeLease(lease).doOnSubscribe(ignored -> count("revoke"));
    }

    @Override
    public Flowable<KeyValueChange> watch(final String prefix, final long afterRevision) {
        return store.watch(prefix, afterRevision).doOnSubscribe(ignored -> count("watch"));
    }

    private void count(final String call) {
        registry.counter(COUNTER, "user", user, "call", call).increment();
    }
}
