package org.balsambank.coordination;

import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.UnaryOperator;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;

/**
 * A server on loopback that sends a second copy of each response, or a part of it, where the test says.
 *
 * <p>Responses are sent in the order in which they were added, one for each request. Thread-safe.
 */
public final class StutteringServer {
    /** Where the copy of a response is sent on its connection. */
    public enum Place {
        /** In the same write as the next response, before it. */
        BEFORE_NEXT,
        /** In the same write as the response, behind it. */
        BEHIND,
        /** By itself, while no request waits on the connection. */
        IDLE
    }

    private final Deque<String> responses = new ConcurrentLinkedDeque<>();
    private final Map<NetSocket, String> late = new ConcurrentHashMap<>();
    private final Place place;
    private final UnaryOperator<String> copy;
    private final RawServer server;
    private volatile CompletableFuture<Void> copySent = CompletableFuture.completedFuture(null);

    /**
     * Starts a server.
     *
     * @param vertx the event loops
     * @param place where copies are sent
     * @param copy returns what is sent a second time of a response, empty for nothing
     */
    public StutteringServer(final Vertx vertx, final Place place, final UnaryOperator<String> copy) {
        this.place = Objects.requireNonNull(place);
        this.copy = Objects.requireNonNull(copy);
        server = new RawServer(vertx, this::respond);
    }

    /**
     * Returns the port.
     *
     * @return the TCP port on loopback
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns how many connections have carried a request.
     *
     * @return the number of connections
     */
    public int connections() {
        return late.size();
    }

    /**
     * Adds the response to the next request that has none.
     *
     * @param response the bytes in ISO 8859-1
     */
    public void addResponse(final String response) {
        responses.add(response);
        if (place == Place.IDLE) {
            copySent = new CompletableFuture<>();
        }
    }

    /**
     * Waits for the copy of a response that is sent by itself.
     *
     * @return completes when the copy of the last response is written, or its connection is closed
     */
    public CompletableFuture<Void> copySent() {
        return copySent;
    }

    private void respond(final NetSocket socket, final String request) {
        final String response = responses.remove();
        final String part = copy.apply(response);
        final String before = late.getOrDefault(socket, "");
        switch (place) {
            case BEFORE_NEXT:
                late.put(socket, part);
                socket.write(before + response);
                break;
            case BEHIND:
                late.put(socket, "");
                socket.write(response + part);
                break;
            default:
                late.put(socket, "");
                final CompletableFuture<Void> sent = copySent;
                socket.write(response).compose(done -> socket.write(part)).onComplete(done -> sent.complete(null));
                break;
        }
    }
}
