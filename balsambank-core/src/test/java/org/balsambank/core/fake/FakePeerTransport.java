package org.balsambank.core.fake;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.port.PeerHandler;
import org.balsambank.core.port.PeerMethod;
import org.balsambank.core.port.PeerTransport;

/** The connections of one VM in a {@link FakePeerNetwork}. Confined to one thread. */
public final class FakePeerTransport implements PeerTransport {
    private final FakePeerNetwork network;
    private final VmId self;
    private final FakeDecisionLoop loop;
    private final Map<Integer, Handler<?, ?>> handlers = new HashMap<>();
    private long bytesSent;
    private long messagesSent;

    FakePeerTransport(final FakePeerNetwork network, final VmId self, final FakeDecisionLoop loop) {
        this.network = network;
        this.self = self;
        this.loop = loop;
    }

    /** Returns the payload bytes of the requests and responses that this VM has sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns the number of requests and responses that this VM has sent. */
    public long messagesSent() {
        return messagesSent;
    }

    @Override
    public <Q extends Message, A extends Message> Single<A> call(
            final VmId to, final PeerMethod<Q, A> method, final Q request, final Duration timeout) {
        return stream(to, method, request)
                .firstOrError()
                .timeout(
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS,
                        loop,
                        Single.error(() -> new PeerException(Reason.TIMEOUT, method.name())));
    }

    @Override
    public <Q extends Message, A extends Message> Flowable<A> stream(
            final VmId to, final PeerMethod<Q, A> method, final Q request) {
        return Flowable.create(
                emitter -> {
                    final FakePeerCall<A> call =
                            new FakePeerCall<>(network, network.transport(to), this, method, emitter);
                    emitter.setCancellable(call::cancel);
                    call.start(request.toByteString());
                },
                BackpressureStrategy.BUFFER);
    }

    @Override
    public <Q extends Message, A extends Message> void serve(
            final PeerMethod<Q, A> method, final PeerHandler<Q, A> handler) {
        handlers.put(method.number(), new Handler<>(method, handler));
    }

    VmId self() {
        return self;
    }

    FakeDecisionLoop loop() {
        return loop;
    }

    void countSent(final ByteString bytes) {
        bytesSent += bytes.size();
        messagesSent++;
    }

    Flowable<? extends Message> handle(final VmId from, final int method, final ByteString request) {
        final Handler<?, ?> handler = handlers.get(method);
        if (handler == null) {
            return Flowable.error(new IllegalStateException("no handler for call " + method));
        }
        return handler.handle(from, request);
    }

    /** A registered handler. */
    private record Handler<Q extends Message, A extends Message>(PeerMethod<Q, A> method, PeerHandler<Q, A> handler) {
        private Flowable<A> handle(final VmId from, final ByteString request) {
            try {
                return handler.handle(from, method.requestParser().parseFrom(request));
            } catch (final InvalidProtocolBufferException e) {
                return Flowable.error(e);
            }
        }
    }
}
