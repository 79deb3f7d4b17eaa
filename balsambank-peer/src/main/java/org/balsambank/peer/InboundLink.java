package org.balsambank.peer;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.google.protobuf.Message;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.VmId;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.peer.PeerCall;
import org.balsambank.protocol.generated.peer.PeerFrame;
import org.balsambank.protocol.generated.peer.PeerHello;
import org.balsambank.protocol.generated.peer.PeerWelcome;

/**
 * A connection opened by another VM; dispatches its calls to the handlers.
 *
 * <p>Confined to the decision loop. Invariant: no call is accepted before a hello with the fleet token.
 */
final class InboundLink implements FrameListener {
    /** The version of the protocol. */
    static final int VERSION = 1;

    /** The maximum frame size before the hello. */
    static final int MAX_HELLO_BYTES = 4096;

    private final VmId self;
    private final Channel channel;
    private final PeerSettings settings;
    private final PeerMetrics metrics;
    private final Map<Integer, HandlerRegistration<?, ?>> handlers;
    private final Map<Long, InboundCall> calls = new HashMap<>();
    private final TimerService timer;
    private final Consumer<InboundLink> whenClosed;
    private FrameChannel frames;
    private Disposable helloTimeout;
    private VmId peer;

    /**
     * Creates a link that is idle until {@link #open()}.
     *
     * @param self this VM
     * @param channel the connection
     * @param settings the limits
     * @param timer the clock and scheduler
     * @param metrics the link metrics
     * @param handlers the handlers by method number
     * @param whenClosed called when the connection is closed
     */
    InboundLink(
            final VmId self,
            final Channel channel,
            final PeerSettings settings,
            final TimerService timer,
            final PeerMetrics metrics,
            final Map<Integer, HandlerRegistration<?, ?>> handlers,
            final Consumer<InboundLink> whenClosed) {
        this.self = self;
        this.channel = channel;
        this.settings = settings;
        this.metrics = metrics;
        this.handlers = handlers;
        this.timer = timer;
        this.whenClosed = whenClosed;
    }

    /** Starts the hello timeout. Must run before the first frame. */
    void open() {
        frames = new FrameChannel(channel, settings, timer, metrics, calls::size);
        helloTimeout = timer.after(settings.connectTimeout()).subscribe(this::refuse);
    }

    @Override
    public void onFrame(final PeerFrame frame) {
        frames.frameReceived(frame);
        if (peer == null) {
            handleHello(frame.getHello());
            return;
        }
        switch (frame.getFrameCase()) {
            case CALL -> startCall(frame.getCall());
            case CANCEL -> cancelCall(frame.getCancel().getId());
            case CREDIT ->
                addCredit(frame.getCredit().getId(), frame.getCredit().getItems());
            case PING, PONG -> {}
            default -> refuse();
        }
    }

    @Override
    public void onClosed() {
        whenClosed.accept(this);
        helloTimeout.dispose();
        frames.close();
        final List<InboundCall> open = new ArrayList<>(calls.values());
        calls.clear();
        open.forEach(InboundCall::dispose);
    }

    /**
     * Waits until the frames sent so far are written.
     *
     * @return completes, on the network thread, when the system has taken over all of them or the connection is lost
     */
    Completable flush() {
        return Completable.create(
                emitter -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ignored -> emitter.onComplete()));
    }

    private void handleHello(final PeerHello hello) {
        final boolean trusted = MessageDigest.isEqual(
                hello.getFleetToken().toByteArray(), settings.fleetToken().toByteArray());
        final boolean addressed = hello.getVersion() == VERSION && hello.getTo().equals(self.value());
        if (!trusted || !addressed || hello.getFrom().isEmpty()) {
            refuse();
            return;
        }
        helloTimeout.dispose();
        peer = new VmId(hello.getFrom());
        FrameHandler.setMaxFrameBytes(channel, settings.maxFrameBytes());
        frames.write(PeerFrame.newBuilder()
                .setWelcome(PeerWelcome.getDefaultInstance())
                .build());
    }

    private void refuse() {
        metrics.refusedLink();
        frames.close();
    }

    private void startCall(final PeerCall request) {
        final long id = request.getId();
        if (calls.containsKey(id)) {
            refuse();
            return;
        }
        frames.prepareForCall();
        final InboundCall call = new InboundCall(
                id, request.getCredit(), settings.maxFrameBytes(), frames::write, () -> calls.remove(id));
        final boolean limitReached = calls.size() >= settings.maxCalls();
        calls.put(id, call);
        final Flowable<?> response = limitReached
                ? Flowable.error(new BalsambankException(ErrorKind.OVERLOADED, "too many calls under way"))
                : dispatch(request);
        response.cast(Message.class).subscribe(call);
    }

    private Flowable<?> dispatch(final PeerCall request) {
        final HandlerRegistration<?, ?> registration = handlers.get(request.getMethod());
        if (registration == null) {
            return Flowable.error(
                    new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "no handler for call " + request.getMethod()));
        }
        return registration.dispatch(peer, request.getRequest());
    }

    private void cancelCall(final long id) {
        final InboundCall call = calls.remove(id);
        if (call == null) {
            metrics.lateFrame();
        } else {
            call.dispose();
        }
    }

    private void addCredit(final long id, final long items) {
        final InboundCall call = calls.get(id);
        if (call != null) {
            call.addCredit(items);
        }
    }
}
