package org.balsambank.peer;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.Message;
import io.netty.channel.Channel;
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
 * A connection that another VM has opened: answers its calls.
 *
 * <p>Confined to the decision loop. Invariant: nothing is answered before a hello with the fleet's token.
 */
final class InboundLink implements FrameListener {
    /** The version of the protocol. */
    static final int VERSION = 1;

    /** The largest frame that is taken before the hello. */
    static final int MAX_HELLO_BYTES = 4096;

    private final VmId self;
    private final Channel channel;
    private final PeerSettings settings;
    private final PeerMetrics metrics;
    private final Map<Integer, HandlerRegistration<?, ?>> handlers;
    private final Map<Long, InboundCall> calls = new HashMap<>();
    private final TimerService timer;
    private FrameChannel frames;
    private Disposable helloLimit;
    private VmId from;

    /**
     * Creates a link that does nothing until it is opened.
     *
     * @param self this VM
     * @param channel the connection
     * @param settings the limits
     * @param timer gives the time
     * @param metrics counts what happens
     * @param handlers the handlers by the number of their call
     */
    InboundLink(
            final VmId self,
            final Channel channel,
            final PeerSettings settings,
            final TimerService timer,
            final PeerMetrics metrics,
            final Map<Integer, HandlerRegistration<?, ?>> handlers) {
        this.self = self;
        this.channel = channel;
        this.settings = settings;
        this.metrics = metrics;
        this.handlers = handlers;
        this.timer = timer;
    }

    /** Starts to wait for the hello. Runs before any frame is taken. */
    void open() {
        frames = new FrameChannel(channel, settings, timer, metrics, calls::size);
        helloLimit = timer.after(settings.connectTimeout()).subscribe(this::refuse);
    }

    @Override
    public void onFrame(final PeerFrame frame) {
        frames.heard(frame);
        if (from == null) {
            greet(frame.getHello());
            return;
        }
        switch (frame.getFrameCase()) {
            case CALL -> begin(frame.getCall());
            case CANCEL -> cancel(frame.getCancel().getId());
            case CREDIT -> credit(frame.getCredit().getId(), frame.getCredit().getItems());
            case PING, PONG -> {}
            default -> refuse();
        }
    }

    @Override
    public void onClosed() {
        helloLimit.dispose();
        frames.close();
        final List<InboundCall> open = new ArrayList<>(calls.values());
        calls.clear();
        open.forEach(InboundCall::dispose);
    }

    private void greet(final PeerHello hello) {
        final boolean trusted = MessageDigest.isEqual(
                hello.getFleetToken().toByteArray(), settings.fleetToken().toByteArray());
        final boolean meant = hello.getVersion() == VERSION && hello.getTo().equals(self.value());
        if (!trusted || !meant || hello.getFrom().isEmpty()) {
            refuse();
            return;
        }
        helloLimit.dispose();
        from = new VmId(hello.getFrom());
        FrameHandler.limit(channel, settings.maxFrameBytes());
        frames.write(PeerFrame.newBuilder()
                .setWelcome(PeerWelcome.getDefaultInstance())
                .build());
    }

    private void refuse() {
        metrics.refusedLink();
        frames.close();
    }

    private void begin(final PeerCall request) {
        final long id = request.getId();
        if (calls.containsKey(id)) {
            refuse();
            return;
        }
        frames.callBegins();
        final InboundCall call = new InboundCall(
                id, request.getCredit(), settings.maxFrameBytes(), frames::write, () -> calls.remove(id));
        final boolean full = calls.size() >= settings.maxCalls();
        calls.put(id, call);
        final Flowable<?> answer = full
                ? Flowable.error(new BalsambankException(ErrorKind.OVERLOADED, "too many calls under way"))
                : answer(request);
        answer.cast(Message.class).subscribe(call);
    }

    private Flowable<?> answer(final PeerCall request) {
        final HandlerRegistration<?, ?> registration = handlers.get(request.getMethod());
        if (registration == null) {
            return Flowable.error(
                    new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "no handler for call " + request.getMethod()));
        }
        return registration.answer(from, request.getRequest());
    }

    private void cancel(final long id) {
        final InboundCall call = calls.remove(id);
        if (call == null) {
            metrics.lateFrame();
        } else {
            call.dispose();
        }
    }

    private void credit(final long id, final long items) {
        final InboundCall call = calls.get(id);
        if (call != null) {
            call.credit(items);
        }
    }
}
