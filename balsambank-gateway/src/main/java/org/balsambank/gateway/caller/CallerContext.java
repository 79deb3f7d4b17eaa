package org.balsambank.gateway.caller;

import java.util.HashSet;
import java.util.Set;

import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.serving.ServingCore;
import org.balsambank.core.time.TimerService;
import org.balsambank.gateway.Dialect;
import org.balsambank.gateway.target.TargetConnectionPools;

/**
 * The state shared by all caller connections.
 *
 * <p>Confined to the decision loop.
 */
public final class CallerContext {
    private final ServingCore core;
    private final Dialect dialect;
    private final TargetConnectionPools pools;
    private final TimerService timer;
    private final DecisionLog log;
    private final ClientAccounts clients;
    private final Set<CallerConnection> connections = new HashSet<>();
    private boolean stopping;

    /**
     * Creates a context without connections.
     *
     * @param core makes the serving decisions
     * @param dialect the header names and message formats
     * @param pools the connection pools of the targets
     * @param clients what all clients hold
     * @param timer the clock and scheduler
     * @param log the decision log
     */
    public CallerContext(
            final ServingCore core,
            final Dialect dialect,
            final TargetConnectionPools pools,
            final ClientAccounts clients,
            final TimerService timer,
            final DecisionLog log) {
        this.core = core;
        this.dialect = dialect;
        this.pools = pools;
        this.clients = clients;
        this.timer = timer;
        this.log = log;
    }

    /**
     * Returns the core that makes the serving decisions.
     *
     * @return the core
     */
    ServingCore core() {
        return core;
    }

    /**
     * Returns the header names and message formats.
     *
     * @return the dialect
     */
    Dialect dialect() {
        return dialect;
    }

    /**
     * Returns the connection pools of the targets.
     *
     * @return the connection pools
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
     * Returns the decision log.
     *
     * @return the decision log
     */
    DecisionLog log() {
        return log;
    }

    /**
     * Returns whether this VM is stopping.
     *
     * @return true after {@link #stop()}
     */
    boolean stopping() {
        return stopping;
    }

    /**
     * Registers an open connection.
     *
     * @param connection the new connection
     */
    void connectionOpened(final CallerConnection connection) {
        connections.add(connection);
    }

    /**
     * Unregisters a closed connection.
     *
     * @param connection the closed connection
     */
    void connectionClosed(final CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns what all clients hold.
     *
     * @return the accounts
     */
    ClientAccounts clients() {
        return clients;
    }

    /**
     * Returns the number of connections whose callers wait for something.
     *
     * @return the number of connections on which a request is read or runs, or a response is not written to the end
     */
    public long unfinishedConnections() {
        return connections.stream().filter(CallerConnection::unfinished).count();
    }

    /** Makes every response from now on the last one of its connection, unless a further request was read. */
    public void stop() {
        stopping = true;
    }

    /** Closes the connections whose callers wait for nothing. */
    public void closeIdle() {
        Set.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Ends all requests, as this VM exits; none is read from now on. */
    public void vmExits() {
        Set.copyOf(connections).forEach(CallerConnection::vmExits);
    }
}
