package org.balsambank.gateway.loop;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;

/**
 * Runs tasks that need what has arrived on all sockets by now, such as the close of a caller's connection.
 *
 * <p>An event loop reads its sockets once a round and then runs its tasks, so a task may run before bytes are read that
 * arrived earlier. Stateless; confined to the event loop.
 */
public final class NextPoll {
    private NextPoll() {}

    /**
     * Runs a task after the event loop has read its sockets once more. A connection that its peer had closed is
     * inactive by then, but its handlers may not have been told yet.
     *
     * @param loop the event loop of the current thread
     * @param task the task
     */
    public static void runAfter(final EventLoop loop, final Runnable task) {
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(task));
    }
}
