package org.balsambank.standin.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.CompletionCall;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.client.TokenListener;
import org.balsambank.standin.engine.EngineServer;
import org.balsambank.standin.engine.EngineSettings;
import org.balsambank.standin.engine.WeightStore;
import org.balsambank.standin.service.ServiceServer;
import org.balsambank.standin.vms.VmListServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the stand-ins of the engine, service and VM list over loopback. */
class StandinServersTest {
    private static final Duration LOAD_TIME = Duration.ofMillis(1);

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final EngineServer engine = new EngineServer(
            0,
            new EngineSettings("e", "base", 4, 8, true, Duration.ZERO, Duration.ofMillis(1)),
            new WeightStore(HttpStandin.timerOf(vertx.getOrCreateContext()), LOAD_TIME));
    private final ServiceServer service = new ServiceServer(0);
    private final VmListServer vms = new VmListServer(0, List.of(new JsonObject().put("id", "vm1")));

    @BeforeEach
    void start() {
        List.of(engine, service, vms).forEach(standin -> vertx.deployVerticle(standin)
                .toCompletionStage()
                .toCompletableFuture()
                .join());
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void streamEndsWithDone() throws Exception {
        send(engine, "/v1/load_lora_adapter", "{\"lora_name\":\"a@1\"}");
        final String body = send(
                        engine,
                        "/v1/completions",
                        "{\"model\":\"a@1\",\"prompt\":\"p\",\"max_tokens\":3,\"stream\":true}")
                .body();
        assertTrue(body.endsWith("data: [DONE]\n\n"), body);
        assertEquals(5, body.split("data: ").length - 1);
    }

    @Test
    void clientVerifiesCompleteResponse() throws Exception {
        send(engine, "/v1/load_lora_adapter", "{\"lora_name\":\"a@1\"}");
        final CompletionCall call = new CompletionCall("", "a@1", "p", 5, true);
        final CallResult result = complete(call);
        assertTrue(result.isWhole());
        assertTrue(call.isAnsweredBy("a@1", result.text()));
        assertTrue(!call.isAnsweredBy("b@1", result.text()));
    }

    @Test
    void clientReportsTruncatedStream() throws Exception {
        send(engine, "/v1/load_lora_adapter", "{\"lora_name\":\"a@1\"}");
        send(engine, "/control", "{\"crashOnPrompt\":\"boom\"}");
        assertEquals(
                CallResult.Outcome.TRUNCATED,
                complete(new CompletionCall("", "a@1", "boom", 5, true)).outcome());
    }

    @Test
    void rejectsStaleFencingNumberWith412() throws Exception {
        assertEquals(200, sendOrder("5").statusCode());
        assertEquals(412, sendOrder("4").statusCode());
    }

    @Test
    void engineSaysOfItselfWhatAControlOrderAsksFor() throws Exception {
        send(engine, "/v1/load_lora_adapter", "{\"lora_name\":\"a@1\"}");
        send(engine, "/control", "{\"leaving\":true,\"requestLimit\":\"1.5\"}");
        final HttpResponse<String> limited = sendCompletion();
        assertEquals(200, limited.statusCode());
        assertEquals(Optional.of("1"), limited.headers().firstValue("X-Leaving"));
        assertEquals(Optional.of("1.5"), limited.headers().firstValue("X-Request-Limit"));
        send(engine, "/control", "{\"leaving\":false,\"requestLimit\":\"\",\"pauseSeconds\":60}");
        final HttpResponse<String> paused = sendCompletion();
        assertEquals(503, paused.statusCode());
        final double left =
                Double.parseDouble(paused.headers().firstValue("Retry-After").orElseThrow());
        assertTrue(left > 0 && left <= 60, "left " + left);
        assertEquals(Optional.empty(), paused.headers().firstValue("X-Request-Limit"));
    }

    private HttpResponse<String> sendCompletion() throws Exception {
        return send(engine, "/v1/completions", "{\"model\":\"a@1\",\"prompt\":\"p\",\"max_tokens\":1}");
    }

    @Test
    void countsDuplicateRun() throws Exception {
        send(service, "/charge", "{\"id\":\"7\"}");
        send(service, "/charge", "{\"id\":\"7\"}");
        assertEquals(1, new JsonObject(get(service, "/control/runs").body()).getLong("ranTwice"));
    }

    @Test
    void closesConnectionAfterRun() throws Exception {
        send(service, "/control", "{\"closeEarly\":1}");
        assertThrows(IOException.class, () -> send(service, "/charge", "{\"id\":\"8\"}"));
        assertEquals(1, new JsonObject(get(service, "/control/runs").body()).getLong("total"));
    }

    @Test
    void vmListReturnsEditedState() throws Exception {
        send(vms, "/control", "{\"states\":{\"vm1\":\"leaving\"}}");
        final JsonObject list = new JsonObject(get(vms, "/v1/vms").body());
        assertEquals("leaving", list.getJsonArray("vms").getJsonObject(0).getString("state"));
    }

    private CallResult complete(final CompletionCall call) {
        return new CallerClient(vertx, 1, Duration.ofSeconds(30))
                .complete(new Endpoint("127.0.0.1", engine.boundPort()), call, TokenListener.NONE)
                .blockingGet();
    }

    private HttpResponse<String> sendOrder(final String fencingNumber) throws Exception {
        return client.send(
                request(engine, "/v1/unload_lora_adapter")
                        .header("X-Fencing-Number", fencingNumber)
                        .POST(BodyPublishers.ofString("{\"lora_name\":\"x@1\"}"))
                        .build(),
                BodyHandlers.ofString());
    }

    private HttpResponse<String> send(final HttpStandin standin, final String path, final String body)
            throws Exception {
        return client.send(
                request(standin, path).POST(BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> get(final HttpStandin standin, final String path) throws Exception {
        return client.send(request(standin, path).build(), BodyHandlers.ofString());
    }

    private static HttpRequest.Builder request(final HttpStandin standin, final String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + standin.boundPort() + path));
    }
}
