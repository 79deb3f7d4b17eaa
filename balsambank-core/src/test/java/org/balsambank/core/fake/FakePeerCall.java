package org.balsambank.core.fake;

import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.port.PeerMethod;

/**
 * One call in flight in a {@link FakePeerNetwork}. Confined to one thread.
 *
 * @param <A> the type of a response item
 */
final class FakePeerCall<A extends Message> {
    private static final long REACHABLE = -1;

    private final FakePeerNetwork network;
    private final FakePeerTransport to;
    private final FakePeerTransport from;
    private final PeerMethod<?, A> method;
    private final FlowableEmitter<A> emitter;
    private Disposable handler = Disposable.disposed();
    private long lastArrivalNanos;
    private long unreachableSinceNanos = REACHABLE;
    private boolean lost;

    FakePeerCall(
            final FakePeerNetwork network,
            final FakePeerTransport to,
            final FakePeerTransport from,
            final PeerMethod<?, A> method,
            final FlowableEmitter<A> emitter) {
        this.network = network;
        this.to = to;
        this.from = from;
        this.method = method;
        this.emitter = emitter;
    }

    void start(final ByteString request) {
        if (to == null) {
            fail(Reason.NOT_SENT, network.nextDelayNanos());
            return;
        }
        network.callStarted(this);
        from.countSent(request);
        if (!passesTo()) {
            failLost(FakePeerNetwork.SILENCE.toNanos());
            return;
        }
        network.clock()
                .scheduleDirect(
                        () -> to.loop().scheduleDirect(() -> handle(request)),
                        network.nextDelayNanos(),
                        TimeUnit.NANOSECONDS);
    }

    /** Fails the call if its VMs could not reach each other for {@link FakePeerNetwork#SILENCE}. */
    void probe() {
        final long now = network.clock().now(TimeUnit.NANOSECONDS);
        if (emitter.isCancelled() || from.loop().killed()) {
            network.callEnded(this);
            handler.dispose();
        } else if (to.loop().killed()) {
            failLost(0);
        } else if (network.reachable(from.self(), to.self()) && !to.loop().paused()) {
            unreachableSinceNanos = REACHABLE;
        } else if (unreachableSinceNanos == REACHABLE) {
            unreachableSinceNanos = now;
        } else if (now - unreachableSinceNanos >= FakePeerNetwork.SILENCE.toNanos()) {
            failLost(0);
        }
    }

    void cancel() {
        network.callEnded(this);
        network.clock()
                .scheduleDirect(
                        () -> {
                            if (to != null) {
                                to.loop().scheduleDirect(() -> handler.dispose());
                            }
                        },
                        network.nextDelayNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void handle(final ByteString request) {
        if (emitter.isCancelled() || lost) {
            return;
        }
        handler = to.handle(from.self(), method.number(), request)
                .subscribe(
                        this::onItem,
                        error -> respond(() -> emitter.tryOnError(toBalsambankException(error))),
                        () -> respond(emitter::onComplete));
    }

    private void onItem(final Message item) {
        final ByteString bytes = item.toByteString();
        to.countSent(bytes);
        respond(() -> emitter.onNext(method.responseParser().parseFrom(bytes)));
    }

    private void respond(final Delivery delivery) {
        if (lost || !passesBack()) {
            failLost(FakePeerNetwork.SILENCE.toNanos());
            return;
        }
        final long now = network.clock().now(TimeUnit.NANOSECONDS);
        lastArrivalNanos = Math.max(lastArrivalNanos, now + network.nextDelayNanos());
        network.clock()
                .scheduleDirect(
                        () -> from.loop().scheduleDirect(() -> deliver(delivery)),
                        lastArrivalNanos - now,
                        TimeUnit.NANOSECONDS);
    }

    private void deliver(final Delivery delivery) {
        try {
            delivery.run();
        } catch (final Exception e) {
            emitter.tryOnError(e);
        }
    }

    private void failLost(final long delayNanos) {
        if (!lost) {
            lost = true;
            network.callEnded(this);
            handler.dispose();
            fail(Reason.LOST, delayNanos);
        }
    }

    private void fail(final Reason reason, final long delayNanos) {
        from.loop()
                .scheduleDirect(
                        () -> emitter.tryOnError(new PeerException(reason, method.name())),
                        delayNanos,
                        TimeUnit.NANOSECONDS);
    }

    private boolean passesTo() {
        return to == from || network.passes(from.self(), to.self());
    }

    private boolean passesBack() {
        return to == from || !from.loop().killed() && network.passes(to.self(), from.self());
    }

    private static Throwable toBalsambankException(final Throwable error) {
        return error instanceof BalsambankException
                ? error
                : new BalsambankException(ErrorKind.INTERNAL, error.toString());
    }

    /** The delivery of a response event to the caller. */
    private interface Delivery {
        void run() throws Exception;
    }
}
