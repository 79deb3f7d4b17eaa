package org.balsambank.gateway.target;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.admission.FleetView;
import org.balsambank.core.serving.request.AttemptListener;
import org.balsambank.core.serving.request.OutgoingAttempt;
import org.balsambank.core.serving.request.TargetSender;
import org.balsambank.core.serving.target.TargetAnnouncement;
import org.balsambank.gateway.Dialect;
import org.balsambank.gateway.loop.NextPoll;

/**
 * The connection pools of all targets.
 *
 * <p>Invariant: a connection to one incarnation of a target is never used for another. Confined to the decision loop.
 */
public final class TargetConnectionPools {
    private static final int MAX_POOLS = 1_000;

    private final EventLoopGroup group;
    private final Dialect dialect;
    private final FleetView fleet;
    private final DecisionLog log;
    private final MeterRegistry registry;
    private final Map<Incarnation, TargetConnectionPool> pools = new HashMap<>();

    /**
     * Creates an empty set of pools.
     *
     * @param group the event loop
     * @param dialect the header names and message formats
     * @param fleet returns the number of VMs that share the connection limit of a target
     * @param log gets a line for each fault of a response
     * @param registry counts the faults of responses
     */
    public TargetConnectionPools(
            final EventLoopGroup group,
            final Dialect dialect,
            final FleetView fleet,
            final DecisionLog log,
            final MeterRegistry registry) {
        this.group = Objects.requireNonNull(group);
        this.dialect = Objects.requireNonNull(dialect);
        this.fleet = Objects.requireNonNull(fleet);
        this.log = Objects.requireNonNull(log);
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Sends a request to a target.
     *
     * @param outgoing the target and the parameters of the attempt
     * @param id the id of the request
     * @param request the head of the caller's request
     * @param body the body of the caller's request
     * @param sink receives the response for the caller
     * @param listener receives the events of the attempt
     * @return the handle of the attempt
     */
    public Attempt send(
            final OutgoingAttempt outgoing,
            final RequestId id,
            final HttpRequest request,
            final ByteBuf body,
            final ResponseSink sink,
            final AttemptListener listener) {
        final TargetAttempt attempt = new TargetAttempt(
                dialect,
                id,
                request,
                dialect.targetRequestHeaders(request, outgoing),
                body,
                outgoing.buffered(),
                sink,
                listener);
        final int maxConnections =
                outgoing.maxConnections() == 0 ? 0 : Math.max(1, outgoing.maxConnections() / Math.max(1, fleet.vms()));
        NextPoll.runAfter(group.next(), () -> {
            if (attempt.wanted()) {
                pool(outgoing.target()).start(attempt, maxConnections);
            }
        });
        return new Attempt(attempt);
    }

    private TargetConnectionPool pool(final TargetAnnouncement target) {
        if (pools.size() > MAX_POOLS) {
            final Iterator<TargetConnectionPool> any = pools.values().iterator();
            any.next().close();
            any.remove();
        }
        final Incarnation incarnation =
                new Incarnation(target.id(), target.startedMillis(), target.host(), target.port());
        return pools.computeIfAbsent(incarnation, this::newPool);
    }

    private TargetConnectionPool newPool(final Incarnation incarnation) {
        return new TargetConnectionPool(
                incarnation.host(),
                incarnation.port(),
                group,
                dialect,
                new ResponseFaults(incarnation.id(), log, registry));
    }

    /** The handle of an attempt in progress. Confined to the decision loop. */
    public static final class Attempt implements TargetSender.AttemptHandle {
        private final TargetAttempt attempt;

        private Attempt(final TargetAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public boolean cancel() {
            return attempt.cancel();
        }

        /** Reads what has arrived of the response by now, or a part of it. */
        public void readArrived() {
            attempt.readArrived();
        }

        /** Resumes reading after the caller's connection became writable again. */
        public void resume() {
            attempt.resume();
        }
    }

    /** The key of a pool: one incarnation of a target and its address. */
    private record Incarnation(TargetId id, long startedMillis, String host, int port) {}
}
