package org.balsambank.daemon.http;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections on which no request arrives in time.
 *
 * <p>Invariant: a connection has a timer only while none of its requests is being answered. Confined to the decision
 * loop.
 */
final class ConnectionTimeouts {
    private final Vertx vertx;
    private final long firstMillis;
    private final long idleMillis;
    private final Map<HttpConnection, Long> timers = new HashMap<>();

    /**
     * Creates a watch over no connection.
     *
     * @param vertx gives the timers
     * @param firstMillis how long the first request may take to arrive, in milliseconds
     * @param idleMillis how long a connection is kept between two requests, in milliseconds
     */
    ConnectionTimeouts(final Vertx vertx, final long firstMillis, final long idleMillis) {
        this.vertx = vertx;
        this.firstMillis = firstMillis;
        this.idleMillis = idleMillis;
    }

    /**
     * Starts to wait for the next request, since an answer has ended.
     *
     * @param connection the connection
     */
    void answerEnded(final HttpConnection connection) {
        await(connection, idleMillis);
    }

    /**
     * Watches a new connection until it closes.
     *
     * @param connection the connection
     */
    void opened(final HttpConnection connection) {
        connection.closeHandler(ignored -> cancel(connection));
        await(connection, firstMillis);
    }

    /**
     * Stops the wait, since a request has arrived.
     *
     * @param connection the connection
     */
    void requestArrived(final HttpConnection connection) {
        cancel(connection);
    }

    private void await(final HttpConnection connection, final long millis) {
        cancel(connection);
        timers.put(connection, vertx.setTimer(millis, id -> connection.close()));
    }

    private void cancel(final HttpConnection connection) {
        final Long timer = timers.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }
}
