package org.balsambank.standin.kv;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests the HTTP interface and the injected faults of the key-value stand-in over loopback. */
class KeyValueServerTest {
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final KeyValueServer server = new KeyValueServer(0);

    @BeforeEach
    void start() {
        vertx.deployVerticle(server).toCompletionStage().toCompletableFuture().join();
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void acceptsKeysWithSlashes() throws Exception {
        assertEquals(200, write("a%2Fb", 0).statusCode());
        final JsonObject entry =
                new JsonObject(send("GET", "/v1/keys/a%2Fb", "").body());
        assertEquals("a/b", entry.getString("key"));
        assertEquals(1, entry.getLong("revision"));
    }

    @Test
    void droppedResponsesKeepTheWrite() throws Exception {
        send("POST", "/control", "{\"loseAnswers\":1}");
        assertThrows(IOException.class, () -> write("k", 0));
        assertEquals(409, write("k", 0).statusCode());
    }

    @Test
    void staleReadsReturnTheStateAtActivation() throws Exception {
        write("k", 0);
        send("POST", "/control", "{\"staleReads\":true}");
        write("k", 1);
        assertEquals(1, new JsonObject(send("GET", "/v1/keys/k", "").body()).getLong("revision"));
        send("POST", "/control", "{\"staleReads\":false}");
        assertEquals(2, new JsonObject(send("GET", "/v1/keys/k", "").body()).getLong("revision"));
    }

    @Test
    void outageClosesConnectionsExceptForControl() throws Exception {
        send("POST", "/control", "{\"outage\":true}");
        assertThrows(IOException.class, () -> send("GET", "/v1/keys/k", ""));
        send("POST", "/control", "{\"outage\":false}");
        assertEquals(404, send("GET", "/v1/keys/k", "").statusCode());
    }

    private HttpResponse<String> write(final String key, final long expected) throws Exception {
        return send("PUT", "/v1/keys/" + key, "{\"value\":\"QQ==\",\"expect\":" + expected + "}");
    }

    private HttpResponse<String> send(final String method, final String path, final String body) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.boundPort() + path))
                .method(method, BodyPublishers.ofString(body))
                .build();
        return client.send(request, BodyHandlers.ofString());
    }
}
