package org.balsambank.daemon.http;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections on which the next request does not arrive in time.
 *
 * <p>Invariant: a connection has a timer only while no request is in progress on it. Confined to the decision
 * loop.
 */
final class ConnectionTimeouts {
    private final Vertx vertx;
    private final long firstMillis;
    private final long idleMillis;
    private final Map<HttpConnection, Long> timers = new HashMap<>();

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
     * Starts the idle timer after the end of a response.
     *
     * @param connection the connection that carried the response
     */
    void responseEnded(final HttpConnection connection) {
        startTimer(connection, idleMillis);
    }

    /**
     * Starts the timer of a new connection.
     *
     * @param connection the new connection
     */
    void opened(final HttpConnection connection) {
        connection.closeHandler(ignored -> cancelTimer(connection));
        startTimer(connection, firstMillis);
    }

    /**
     * Stops the timer because a request has arrived.
     *
     * @param connection the connection that carries the request
     */
    void requestArrived(final HttpConnection connection) {
        cancelTimer(connection);
    }

    private void startTimer(final HttpConnection connection, final long millis) {
        cancelTimer(connection);
        timers.put(connection, vertx.setTimer(millis, id -> connection.close()));
    }

    private void cancelTimer(final HttpConnection connection) {
        final Long timer = timers.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }
}
