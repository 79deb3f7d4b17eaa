package org.balsambank.daemon.http;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections on which the next request does not arrive in time.
 *
 * <p>Invariants: a connection has a timer only while no request is in progress on it; a request that waits in the
 * socket when the time is over is read. Confined to the decision
 * loop.
 */
final class ConnectionTimeouts {
    private final Vertx vertx;
    private final long firstMillis;
    private final long idleMillis;
    private final Map<HttpConnection, State> states = new HashMap<>();

    /**
     * Creates an instance without connections.
     *
     * @param vertx the timers
     * @param firstMillis the time limit for the first request, in milliseconds
     * @param idleMillis the time limit between the end of a response and the next request, in milliseconds
     */
    ConnectionTimeouts(final Vertx vertx, final long firstMillis, final long idleMillis) {
        this.vertx = vertx;
        this.firstMillis = firstMillis;
        this.idleMillis = idleMillis;
    }

    /**
     * Starts the timer of a new connection.
     *
     * @param connection the new connection
     */
    void opened(final HttpConnection connection) {
        final State state = new State(connection);
        states.put(connection, state);
        connection.closeHandler(ignored -> closed(connection));
        state.startTimer(firstMillis);
    }

    /**
     * Stops the timer because a request has arrived.
     *
     * @param connection the connection that carries the request
     */
    void requestArrived(final HttpConnection connection) {
        final State state = states.get(connection);
        if (state != null) {
            state.requestArrived();
        }
    }

    /**
     * Starts the idle timer after the end of a response, unless the next request has already arrived.
     *
     * @param connection the connection that carried the response
     */
    void responseEnded(final HttpConnection connection) {
        final State state = states.get(connection);
        if (state != null) {
            state.responseEnded();
        }
    }

    private void closed(final HttpConnection connection) {
        states.remove(connection).cancelTimer();
    }

    /** The requests and the timer of one open connection. Confined to the decision loop. */
    private final class State {
        private static final long NO_TIMER = -1;

        private final HttpConnection connection;
        private int inProgress;
        private long timer = NO_TIMER;

        State(final HttpConnection connection) {
            this.connection = connection;
        }

        /** A pipelined request arrives before the end of the response to the one before it is reported. */
        void requestArrived() {
            inProgress++;
            cancelTimer();
        }

        void responseEnded() {
            inProgress--;
            if (inProgress == 0) {
                startTimer(idleMillis);
            }
        }

        void startTimer(final long millis) {
            cancelTimer();
            timer = vertx.setTimer(millis, id -> timer = ReadTurn.then(vertx, connection::close));
        }

        void cancelTimer() {
            if (timer != NO_TIMER) {
                vertx.cancelTimer(timer);
                timer = NO_TIMER;
            }
        }
    }
}
