package org.balsambank.daemon.http;

import io.vertx.core.Vertx;

/**
 * Runs a task after the event loop has read what waits in its sockets.
 *
 * <p>On a late loop a timer fires before the bytes are read that arrived in time. Stateless; confined to the decision
 * loop.
 */
final class ReadTurn {
    /** The shortest time that a timer can have, in milliseconds. */
    static final long SHORTEST_TIMER_MILLIS = 1;

    private ReadTurn() {}

    /**
     * Runs a task after the loop has read. To be called by a timer: one that is set while the loop reads may fire
     * before it reads again.
     *
     * @param vertx the timers
     * @param task the task
     * @return the id of the timer, for cancelling it
     */
    static long then(final Vertx vertx, final Runnable task) {
        return vertx.setTimer(SHORTEST_TIMER_MILLIS, id -> task.run());
    }
}
