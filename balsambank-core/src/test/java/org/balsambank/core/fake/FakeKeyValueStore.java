package org.balsambank.core.fake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueSnapshot;
import org.balsambank.core.port.PolledKeyValueStore;

/**
 * The client of one VM for {@link FakeKeyValueService}. A call that is lost fails after a timeout with reason
 * {@code UNKNOWN}, whether it took effect or not.
 *
 * <p>Confined to one thread.
 */
public final class FakeKeyValueStore implements PolledKeyValueStore {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(5);

    private final FakeKeyValueService service;
    private final VmId vm;
    private final Scheduler loop;

    public FakeKeyValueStore(final FakeKeyValueService service, final VmId vm, final Scheduler loop) {
        this.service = service;
        this.vm = vm;
        this.loop = loop;
    }

    @Override
    public Single<Optional<KeyValueEntry>> read(final String key) {
        return call("read", () -> service.read(key));
    }

    @Override
    public Single<KeyValueSnapshot> list(final String prefix) {
        return call("list", () -> service.list(prefix));
    }

    @Override
    public Single<Long> compareAndSwap(
            final String key, final long expectedRevision, final ByteString value, final Optional<LeaseId> lease) {
        return call("swap", () -> service.compareAndSwap(key, expectedRevision, value, lease));
    }

    @Override
    public Completable delete(final String key, final long expectedRevision) {
        return call("delete", () -> {
                    service.delete(key, expectedRevision);
                    return true;
                })
                .ignoreElement();
    }

    @Override
    public Single<LeaseId> grantLease(final Duration timeToLive) {
        return call("grant", () -> service.grant(timeToLive));
    }

    @Override
    public Completable renewLease(final LeaseId lease) {
        return call("renew", () -> {
                    service.renew(lease);
                    return true;
                })
                .ignoreElement();
    }

    @Override
    public Completable revokeLease(final LeaseId lease) {
        return call("revoke", () -> {
                    service.revoke(lease);
                    return true;
                })
                .ignoreElement();
    }

    @Override
    public Flowable<KeyValueChange> watch(final String prefix, final long afterRevision) {
        return watch(prefix, afterRevision, WATCH_WAIT);
    }

    @Override
    public Single<Changes> changes(final String prefix, final long afterRevision, final Duration wait) {
        return withTimeout(wait.plus(CALL_TIMEOUT), Single.<Changes>create(emitter -> {
            service.count("watch");
            deliver(
                    emitter,
                    () -> waitForChange(prefix, afterRevision, wait, changes -> {
                        final Changes result = new Changes(changes, service.revision());
                        respond(emitter, () -> result);
                    }));
        }));
    }

    private <T> Single<T> call(final String name, final Callable<T> effect) {
        return withTimeout(CALL_TIMEOUT, Single.create(emitter -> {
            service.count(name);
            deliver(emitter, () -> respond(emitter, effect));
        }));
    }

    private void waitForChange(
            final String prefix, final long after, final Duration wait, final Consumer<List<KeyValueChange>> consumer) {
        final Runnable[] check = new Runnable[1];
        final boolean[] done = new boolean[1];
        check[0] = () -> {
            final List<KeyValueChange> changes = service.changes(prefix, after);
            if (!changes.isEmpty()) {
                done[0] = true;
                consumer.accept(changes);
            } else {
                service.onNextChange(check[0]);
            }
        };
        check[0].run();
        if (!done[0]) {
            service.clock()
                    .scheduleDirect(
                            () -> {
                                if (!done[0]) {
                                    service.removeWaiter(check[0]);
                                    consumer.accept(List.of());
                                }
                            },
                            wait.toNanos(),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void deliver(final SingleEmitter<?> emitter, final Runnable action) {
        final boolean sent = service.reaches(vm);
        later(() -> {
            if (sent && service.reaches(vm)) {
                action.run();
            }
        });
    }

    private <T> void respond(final SingleEmitter<T> emitter, final Callable<T> effect) {
        T result = null;
        Exception failure = null;
        try {
            result = effect.call();
        } catch (final Exception e) {
            failure = e;
        }
        if (service.losesResponse()) {
            return;
        }
        final T success = result;
        final Exception error = failure;
        later(() -> {
            if (!service.reaches(vm)) {
                return;
            }
            if (error == null) {
                emitter.onSuccess(success);
            } else {
                emitter.tryOnError(error);
            }
        });
    }

    private <T> Single<T> withTimeout(final Duration limit, final Single<T> call) {
        return call.observeOn(loop)
                .timeout(
                        limit.toNanos(),
                        TimeUnit.NANOSECONDS,
                        loop,
                        Single.error(() -> new KeyValueException(Reason.UNKNOWN, "no response")));
    }

    private void later(final Runnable action) {
        service.clock().scheduleDirect(action, service.nextDelayNanos(), TimeUnit.NANOSECONDS);
    }
}
