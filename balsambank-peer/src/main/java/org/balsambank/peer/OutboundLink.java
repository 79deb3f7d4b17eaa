package org.balsambank.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.reactivex.rxjava3.disposables.Disposable;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.PeerException;
import org.balsambank.core.port.PeerException.Reason;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.peer.PeerCancel;
import org.balsambank.protocol.generated.peer.PeerCredit;
import org.balsambank.protocol.generated.peer.PeerFrame;
import org.balsambank.protocol.generated.peer.PeerHello;

/**
 * A connection opened by this VM to another VM.
 *
 * <p>Confined to the decision loop. Invariants: no call is sent before the welcome; each call ends exactly once; a
 * closed link is never reopened.
 */
final class OutboundLink implements FrameListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final VmId self;
    private final VmId peer;
    private final InetSocketAddress address;
    private final PeerSettings settings;
    private final TimerService timer;
    private final PeerMetrics metrics;
    private final Map<Long, OutboundCall<?>> calls = new LinkedHashMap<>();
    private final Disposable connectTimeout;
    private FrameChannel frames;
    private long lastId;
    private boolean ready;
    private boolean closed;

    /**
     * Creates a link that waits for its connection and starts the connect timeout.
     *
     * @param self this VM
     * @param to the other VM
     * @param address the address of the other VM
     * @param settings the limits
     * @param timer the clock and scheduler
     * @param metrics the link metrics
     */
    OutboundLink(
            final VmId self,
            final VmId to,
            final InetSocketAddress address,
            final PeerSettings settings,
            final TimerService timer,
            final PeerMetrics metrics) {
        this.self = self;
        this.peer = to;
        this.address = address;
        this.settings = settings;
        this.timer = timer;
        this.metrics = metrics;
        connectTimeout = timer.after(settings.connectTimeout()).subscribe(this::close);
    }

    /**
     * Returns whether the link accepts calls.
     *
     * @param currentAddress the current address of the other VM
     * @return false if the link is closed or uses another address
     */
    boolean usable(final InetSocketAddress currentAddress) {
        return !closed && address.equals(currentAddress);
    }

    /**
     * Sends the hello on a new connection, or closes it if the link is closed.
     *
     * @param channel the connection
     */
    void connected(final Channel channel) {
        if (closed) {
            channel.close();
            return;
        }
        frames = new FrameChannel(channel, settings, timer, metrics, calls::size);
        final PeerHello hello = PeerHello.newBuilder()
                .setVersion(InboundLink.VERSION)
                .setFrom(self.value())
                .setTo(peer.value())
                .setFleetToken(settings.fleetToken())
                .build();
        frames.write(PeerFrame.newBuilder().setHello(hello).build());
    }

    /**
     * Starts a call; it is sent at once or after the welcome.
     *
     * @param call the call
     */
    void start(final OutboundCall<?> call) {
        lastId++;
        call.bind(this, lastId);
        if (closed || calls.size() >= settings.maxCalls()) {
            call.fail(new PeerException(Reason.NOT_SENT, "link to " + peer + " is closed or has too many calls"));
            return;
        }
        if (ready) {
            frames.prepareForCall();
        }
        calls.put(lastId, call);
        if (ready) {
            send(call);
        }
    }

    /**
     * Cancels a call.
     *
     * @param id the id of the call
     * @param sent whether the call was sent to the other VM
     */
    void cancel(final long id, final boolean sent) {
        if (calls.remove(id) != null && sent && !closed) {
            frames.write(PeerFrame.newBuilder()
                    .setCancel(PeerCancel.newBuilder().setId(id))
                    .build());
        }
    }

    /**
     * Grants credit for further items of a response.
     *
     * @param id the id of the call
     * @param items the number of further items
     */
    void grantCredit(final long id, final int items) {
        if (calls.containsKey(id) && !closed) {
            frames.write(PeerFrame.newBuilder()
                    .setCredit(PeerCredit.newBuilder().setId(id).setItems(items))
                    .build());
        }
    }

    @Override
    public void onFrame(final PeerFrame frame) {
        if (closed) {
            metrics.lateFrame();
            return;
        }
        frames.frameReceived(frame);
        switch (frame.getFrameCase()) {
            case WELCOME -> handleWelcome();
            case ITEM -> handleItem(frame);
            case END -> handleEnd(frame);
            case FAILURE -> handleFailure(frame);
            case PING, PONG -> {}
            default -> protocolError();
        }
    }

    @Override
    public void onClosed() {
        close();
    }

    /** Closes the link and fails its calls. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        connectTimeout.dispose();
        if (frames != null) {
            frames.close();
        }
        LOGGER.atFine().log("event=link_closed to=%s calls=%d ready=%b", peer, calls.size(), ready);
        final List<OutboundCall<?>> open = new ArrayList<>(calls.values());
        calls.clear();
        open.forEach(call -> call.onLinkClosed("link to " + peer + " is closed"));
    }

    private void handleWelcome() {
        if (ready) {
            protocolError();
            return;
        }
        ready = true;
        connectTimeout.dispose();
        new ArrayList<>(calls.values()).forEach(this::send);
    }

    private void send(final OutboundCall<?> call) {
        frames.write(PeerFrame.newBuilder().setCall(call.createCallFrame()).build());
    }

    private void handleItem(final PeerFrame frame) {
        final OutboundCall<?> call = calls.get(frame.getItem().getId());
        if (call == null) {
            metrics.lateFrame();
        } else if (!call.onItem(frame.getItem())) {
            protocolError();
        }
    }

    private void handleEnd(final PeerFrame frame) {
        final OutboundCall<?> call = calls.remove(frame.getEnd().getId());
        if (call == null) {
            metrics.lateFrame();
        } else {
            call.onEnd(frame.getEnd());
        }
    }

    private void handleFailure(final PeerFrame frame) {
        final OutboundCall<?> call = calls.remove(frame.getFailure().getId());
        if (call == null) {
            metrics.lateFrame();
        } else {
            call.fail(FailureCodec.decode(frame.getFailure()));
        }
    }

    private void protocolError() {
        metrics.brokenFrame();
        close();
    }
}
