package org.balsambank.gateway.caller;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ServingCore;
import org.balsambank.core.time.TimerService;
import org.balsambank.gateway.Dialect;
import org.balsambank.gateway.target.TargetConnectionPools;

/**
 * What all connections of callers share.
 *
 * <p>Confined to the decision loop.
 */
public final class CallerContext {
    private static final long MAX_BUFFERED_BYTES = 64L * 1024 * 1024;

    private final ServingCore core;
    private final Dialect dialect;
    private final TargetConnectionPools pools;
    private final TimerService timer;
    private final DecisionLog log;
    private final Set<CallerConnection> connections = new HashSet<>();
    private long buffered;
    private int running;
    private boolean stopping;

    /**
     * Creates a context without connections.
     *
     * @param core decides
     * @param dialect the names and formats
     * @param pools the connections to targets
     * @param timer gives the time
     * @param log takes a line for each request that is refused unread
     */
    public CallerContext(
            final ServingCore core,
            final Dialect dialect,
            final TargetConnectionPools pools,
            final TimerService timer,
            final DecisionLog log) {
        this.core = core;
        this.dialect = dialect;
        this.pools = pools;
        this.timer = timer;
        this.log = log;
    }

    /**
     * Returns the decisions.
     *
     * @return the decisions
     */
    ServingCore core() {
        return core;
    }

    /**
     * Returns the names and formats.
     *
     * @return the names and formats
     */
    Dialect dialect() {
        return dialect;
    }

    /**
     * Returns the connections to targets.
     *
     * @return the connections to targets
     */
    TargetConnectionPools pools() {
        return pools;
    }

    /**
     * Returns the timer service.
     *
     * @return the timer service
     */
    TimerService timer() {
        return timer;
    }

    /**
     * Returns the log.
     *
     * @return the log
     */
    DecisionLog log() {
        return log;
    }

    /**
     * Tells whether this VM stops.
     *
     * @return true after {@link #stop()}
     */
    boolean stopping() {
        return stopping;
    }

    /**
     * Notes a connection.
     *
     * @param connection the connection that has opened
     */
    void opened(final CallerConnection connection) {
        connections.add(connection);
    }

    /**
     * Forgets a connection.
     *
     * @param connection the connection that has ended
     */
    void closed(final CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Reserves memory for a body.
     *
     * @param bytes the size
     *
     * @return false if there is none left
     */
    boolean reserve(final int bytes) {
        if (buffered + bytes > MAX_BUFFERED_BYTES) {
            return false;
        }
        buffered += bytes;
        return true;
    }

    /**
     * Gives memory back.
     *
     * @param bytes the size
     */
    void release(final int bytes) {
        buffered -= bytes;
    }

    /**
     * Counts a request that was read.
     */
    void began() {
        running++;
    }

    /**
     * Counts a request that has its final answer.
     */
    void ended() {
        running--;
    }

    /**
     * Returns the requests under way.
     *
     * @return the requests that have been read and have no final answer
     */
    public int running() {
        return running;
    }

    /** From now on each answer is the last one of its connection. */
    public void stop() {
        stopping = true;
    }

    /** Ends the connections on which nothing is under way. */
    public void closeIdle() {
        Set.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }
}
