package org.balsambank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the HTTP client of the commands against a server that writes raw bytes. Confined to one thread. */
final class BlockingHttpClientTest {
    private static final String FIRST = response("{\"complete\":true}");
    private static final String SECOND = response("{\"complete\":false}");

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close().await();
    }

    // Guards against a roll-out that is shown as complete by a copy, or a part of one, of an earlier response.
    @Test
    void noPartOfACopyIsReadWithTheNextResponse() throws CommandException {
        final List<String> faults = new ArrayList<>();
        for (int length = 1; length <= FIRST.length(); length++) {
            final String part = FIRST.substring(0, length);
            final Set<NetSocket> connections = ConcurrentHashMap.newKeySet();
            final NetServer server = vertx.createNetServer()
                    .connectHandler(socket -> socket.handler(request -> socket.write(
                            connections.isEmpty() ? first(connections, socket) : second(connections, socket, part))));
            server.listen(0, "127.0.0.1").await();
            try (BlockingHttpClient client = new BlockingHttpClient("http://127.0.0.1:" + server.actualPort(), "")) {
                assertEquals(FIRST, read(client));
                final String read = read(client);
                if (!read.equals(SECOND) || connections.size() != 2) {
                    faults.add(length + ": " + read);
                }
            }
        }
        assertEquals(List.of(), faults);
    }

    private static String first(final Set<NetSocket> connections, final NetSocket socket) {
        connections.add(socket);
        return FIRST;
    }

    private static String second(final Set<NetSocket> connections, final NetSocket socket, final String part) {
        return connections.add(socket) ? SECOND : part + SECOND;
    }

    private static String read(final BlockingHttpClient client) {
        try {
            return response(BlockingHttpClient.bodyText(client.send(HttpMethod.GET, "/status", "", Map.of())));
        } catch (final CommandException e) {
            return e.getMessage();
        }
    }

    private static String response(final String body) {
        return "HTTP/1.1 200 OK\r\nServer: vm\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
