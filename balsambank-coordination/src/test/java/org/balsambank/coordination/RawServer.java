package org.balsambank.coordination;

import java.util.function.BiConsumer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/** A TCP server on loopback that responds to each request head with bytes written by the test. Thread-safe. */
public final class RawServer {
    private static final String HEAD_END = "\r\n\r\n";

    private final NetServer server;

    /**
     * Starts a server.
     *
     * @param vertx the event loops
     * @param script gets a connection and the head of each request that arrives on it
     */
    public RawServer(final Vertx vertx, final BiConsumer<NetSocket, String> script) {
        server = vertx.createNetServer().connectHandler(socket -> {
            final StringBuilder received = new StringBuilder();
            socket.handler(data -> {
                received.append(data.toString("ISO-8859-1"));
                if (received.indexOf(HEAD_END) >= 0) {
                    final String request = received.toString();
                    received.setLength(0);
                    script.accept(socket, request);
                }
            });
        });
        server.listen(0, "127.0.0.1").await();
    }

    /**
     * Returns the port.
     *
     * @return the TCP port on loopback
     */
    public int port() {
        return server.actualPort();
    }
}
