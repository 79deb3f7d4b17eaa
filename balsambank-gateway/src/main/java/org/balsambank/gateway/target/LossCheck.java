package org.balsambank.gateway.target;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import org.balsambank.core.serving.poison.LossFinding;
import org.balsambank.gateway.loop.NextPoll;

/**
 * Finds out whether the process of a target has ended, after a connection to it was lost.
 *
 * <p>The end of a process ends all its connections, and it refuses new ones until it starts again seconds later. So the
 * process lives if a connection that was open at the loss stays open for {@link #OPEN_TIME}. Only if there is none, or
 * none is left, a new one is opened; it carries no request. Confined to the decision loop.
 */
final class LossCheck {
    /** More than the ends of the connections of one process lie apart; less than a target takes to start again. */
    static final Duration OPEN_TIME = Duration.ofMillis(400);

    private static final Duration LOOK_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final Supplier<Bootstrap> connector;
    private final SingleEmitter<LossFinding> result;
    private final long beganNanos = System.nanoTime();
    private List<TargetConnection> open;

    private LossCheck(
            final EventLoop loop,
            final Supplier<Bootstrap> connector,
            final List<TargetConnection> open,
            final SingleEmitter<LossFinding> result) {
        this.loop = Objects.requireNonNull(loop);
        this.connector = Objects.requireNonNull(connector);
        this.open = List.copyOf(open);
        this.result = Objects.requireNonNull(result);
    }

    /**
     * Creates a check that begins when it is subscribed, which must be right after the loss.
     *
     * @param loop the event loop
     * @param connector creates connections to the target
     * @param open returns the other connections to the target that are open and being read
     * @return emits what was found out, on the event loop
     */
    static Single<LossFinding> after(
            final EventLoop loop, final Supplier<Bootstrap> connector, final Supplier<List<TargetConnection>> open) {
        return Single.create(result -> new LossCheck(loop, connector, open.get(), result).look());
    }

    private void look() {
        open = open.stream().filter(TargetConnection::open).toList();
        if (open.isEmpty()) {
            connect();
        } else if (System.nanoTime() - beganNanos >= OPEN_TIME.toNanos()) {
            result.onSuccess(LossFinding.CONNECTIONS_OPEN);
        } else {
            later(LOOK_INTERVAL, this::look);
        }
    }

    private void connect() {
        final ChannelFuture connected = connector.get().handler(new Probe()).connect();
        connected.addListener((ChannelFutureListener) done -> {
            if (done.isSuccess()) {
                later(OPEN_TIME, () -> connectionAccepted(done.channel()));
            } else {
                result.onSuccess(
                        done.cause() instanceof ConnectException refused && !timedOut(refused)
                                ? LossFinding.CONNECTION_REFUSED
                                : LossFinding.UNKNOWN);
            }
        });
    }

    private static boolean timedOut(final ConnectException cause) {
        return cause instanceof ConnectTimeoutException;
    }

    private void connectionAccepted(final Channel connection) {
        result.onSuccess(connection.isActive() ? LossFinding.CONNECTION_ACCEPTED : LossFinding.CONNECTIONS_ENDED);
        connection.close();
    }

    /** Runs a task after a time, and after the sockets were read once more, as the loop may have been held up. */
    private void later(final Duration delay, final Runnable task) {
        loop.schedule(() -> NextPoll.runAfter(loop, task), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the connection when the target ends it. Stateless and thread-safe. */
    private static final class Probe extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }
}
