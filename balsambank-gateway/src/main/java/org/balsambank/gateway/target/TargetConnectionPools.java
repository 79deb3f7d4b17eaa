package org.balsambank.gateway.target;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.admission.FleetView;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.gateway.Dialect;

/**
 * The connections to all targets.
 *
 * <p>Invariant: a connection to one start of a target is never used for another start. Confined to the decision loop.
 */
public final class TargetConnectionPools {
    private static final int MAX_POOLS = 1_000;

    private final EventLoopGroup group;
    private final Dialect dialect;
    private final FleetView fleet;
    private final Map<Start, TargetConnectionPool> pools = new HashMap<>();

    /**
     * Creates pools without connections.
     *
     * @param group the event loop
     * @param dialect the names and formats
     * @param fleet tells how many VMs share the connections of a target
     */
    public TargetConnectionPools(final EventLoopGroup group, final Dialect dialect, final FleetView fleet) {
        this.group = Objects.requireNonNull(group);
        this.dialect = Objects.requireNonNull(dialect);
        this.fleet = Objects.requireNonNull(fleet);
    }

    /**
     * Sends a request.
     *
     * @param outgoing where and how
     * @param id the request
     * @param request the head of the caller's request
     * @param body the body of the caller's request
     * @param sink takes the answer that goes to the caller
     * @param listener hears of the send
     * @return the send
     */
    public Sending send(
            final OutgoingAttempt outgoing,
            final RequestId id,
            final HttpRequest request,
            final ByteBuf body,
            final ResponseSink sink,
            final AttemptListener listener) {
        final TargetAttempt send = new TargetAttempt(
                dialect, id, request, dialect.outgoing(request, outgoing), body, outgoing.buffered(), sink, listener);
        final int limit =
                outgoing.maxConnections() == 0 ? 0 : Math.max(1, outgoing.maxConnections() / Math.max(1, fleet.vms()));
        group.execute(() -> {
            if (!send.cancelled()) {
                pool(outgoing.target()).send(send, limit);
            }
        });
        return new Sending(send);
    }

    private TargetConnectionPool pool(final TargetAnnouncement target) {
        if (pools.size() > MAX_POOLS) {
            final Iterator<TargetConnectionPool> any = pools.values().iterator();
            any.next().close();
            any.remove();
        }
        final Start start = new Start(target.id(), target.startedMillis(), target.host(), target.port());
        return pools.computeIfAbsent(start, key -> new TargetConnectionPool(key.host(), key.port(), group, dialect));
    }

    /** A send under way. Confined to the decision loop. */
    public static final class Sending implements TargetSender.AttemptHandle {
        private final TargetAttempt send;

        private Sending(final TargetAttempt send) {
            this.send = send;
        }

        @Override
        public void cancel() {
            send.cancel();
        }

        /** Reads on after the caller has caught up. */
        public void resume() {
            send.resume();
        }
    }

    /** One start of a target at its address. */
    private record Start(TargetId id, long bornMillis, String host, int port) {}
}
