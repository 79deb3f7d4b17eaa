package org.balsambank.gateway.loop;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * The single-threaded event loop that runs the decision loop and all sockets of callers and targets.
 *
 * <p>Thread-safe. Tasks run one at a time, in submission order.
 */
public final class GatewayLoop implements Executor {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final TimerService timer =
            new SchedulerTimerService(new EventLoopScheduler(loop, this::reportLateness), System::nanoTime);
    private volatile LongConsumer latenessListener = nanos -> {};

    /** Creates a loop with its thread. */
    public GatewayLoop() {}

    /**
     * Returns the group of the loop, for sockets.
     *
     * @return a group of one event loop
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Returns the timer service of the loop.
     *
     * @return the timer service, on the monotonic clock
     */
    public TimerService timer() {
        return timer;
    }

    /**
     * Sets the listener that learns how late the loop is.
     *
     * @param listener receives, on the loop, how late each timer fires, in nanoseconds; sockets are read as late
     */
    public void setLatenessListener(final LongConsumer listener) {
        latenessListener = Objects.requireNonNull(listener);
    }

    private void reportLateness(final long nanos) {
        latenessListener.accept(nanos);
    }

    @Override
    public void execute(final Runnable task) {
        loop.execute(task);
    }
}
