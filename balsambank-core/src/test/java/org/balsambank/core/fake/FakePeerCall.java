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
 * One call under way in a {@link FakePeerNetwork}. Confined to one thread.
 *
 * @param <A> the type of an item of the answer
 */
final class FakePeerCall<A extends Message> {
    private static final long REACHABLE = -1;

    private final FakePeerNetwork network;
    private final FakePeerTransport to;
    private final FakePeerTransport from;
    private final PeerMethod<?, A> method;
    private final FlowableEmitter<A> emitter;
    private Disposable handling = Disposable.disposed();
    private long lastArrivalNanos;
    private long unreachableSinceNanos = REACHABLE;
    private boolean broken;

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
        network.opened(this);
        from.countSent(request);
        if (!passesTo()) {
            breakOff(FakePeerNetwork.SILENCE.toNanos());
            return;
        }
        network.clock()
                .scheduleDirect(
                        () -> to.loop().scheduleDirect(() -> handle(request)),
                        network.nextDelayNanos(),
                        TimeUnit.NANOSECONDS);
    }

    /** Breaks the call if its ends have not reached each other for the time that finds a silent link. */
    void probe() {
        final long now = network.clock().now(TimeUnit.NANOSECONDS);
        if (emitter.isCancelled() || from.loop().killed()) {
            network.ended(this);
            handling.dispose();
        } else if (to.loop().killed()) {
            breakOff(0);
        } else if (network.reachable(from.self(), to.self()) && !to.loop().paused()) {
            unreachableSinceNanos = REACHABLE;
        } else if (unreachableSinceNanos == REACHABLE) {
            unreachableSinceNanos = now;
        } else if (now - unreachableSinceNanos >= FakePeerNetwork.SILENCE.toNanos()) {
            breakOff(0);
        }
    }

    void cancel() {
        network.ended(this);
        network.clock()
                .scheduleDirect(
                        () -> {
                            if (to != null) {
                                to.loop().scheduleDirect(() -> handling.dispose());
                            }
                        },
                        network.nextDelayNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void handle(final ByteString request) {
        if (emitter.isCancelled() || broken) {
            return;
        }
        handling = to.handle(from.self(), method.number(), request)
                .subscribe(
                        this::item,
                        error -> answer(() -> emitter.tryOnError(known(error))),
                        () -> answer(emitter::onComplete));
    }

    private void item(final Message item) {
        final ByteString bytes = item.toByteString();
        to.countSent(bytes);
        answer(() -> emitter.onNext(method.responseParser().parseFrom(bytes)));
    }

    private void answer(final Delivery delivery) {
        if (broken || !passesBack()) {
            breakOff(FakePeerNetwork.SILENCE.toNanos());
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

    private void breakOff(final long delayNanos) {
        if (!broken) {
            broken = true;
            network.ended(this);
            handling.dispose();
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

    private static Throwable known(final Throwable error) {
        return error instanceof BalsambankException
                ? error
                : new BalsambankException(ErrorKind.INTERNAL, error.toString());
    }

    /** What arrives at the caller. */
    private interface Delivery {
        void run() throws Exception;
    }
}
