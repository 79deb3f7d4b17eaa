package org.balsambank.daemon.target;

import java.util.function.BiConsumer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/** A TCP server on loopback that responds to each request head with bytes written by the test. Thread-safe. */
final class RawServer {
    private static final String HEAD_END = "\r\n\r\n";

    private final NetServer server;

    RawServer(final Vertx vertx, final BiConsumer<NetSocket, String> script) {
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

    int port() {
        return server.actualPort();
    }
}
