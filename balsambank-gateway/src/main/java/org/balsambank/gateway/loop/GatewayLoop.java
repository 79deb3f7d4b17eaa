package org.balsambank.gateway.loop;

import java.util.concurrent.Executor;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.balsambank.core.time.SchedulerTimerService;
import org.balsambank.core.time.TimerService;

/**
 * The single-threaded event loop that runs the decision loop and all sockets of callers and targets.
 *
 * <p>Immutable and thread-safe. Tasks run one at a time, in submission order.
 */
public final class GatewayLoop implements Executor {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final TimerService timer = new SchedulerTimerService(new EventLoopScheduler(loop), System::nanoTime);

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

    @Override
    public void execute(final Runnable task) {
        loop.execute(task);
    }
}
