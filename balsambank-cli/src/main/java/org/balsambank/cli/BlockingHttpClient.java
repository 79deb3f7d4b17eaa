package org.balsambank.cli;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;

/**
 * Calls HTTP servers and waits for their answers.
 *
 * <p>Confined to one thread. Closed after use.
 */
public final class BlockingHttpClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_SECONDS = 60;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int CONFLICT = 409;

    private final URI server;
    private final String token;
    private final Vertx vertx = Vertx.vertx();
    private final WebClient client = WebClient.create(vertx);

    /**
     * Creates a client.
     *
     * @param server the address of the server, such as {@code http://127.0.0.1:18091}
     * @param token the bearer token, empty for none
     * @throws CommandException if the address is malformed
     */
    public BlockingHttpClient(final String server, final String token) throws CommandException {
        try {
            this.server = new URI(server);
        } catch (final URISyntaxException e) {
            throw new CommandException(ExitCode.INVALID, "not an address: " + server);
        }
        if (this.server.getHost() == null || this.server.getPort() < 0) {
            throw new CommandException(ExitCode.INVALID, "not an address with a port: " + server);
        }
        this.token = token;
    }

    /**
     * Makes a call and expects a JSON answer.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param body the body, empty for none
     * @return the answer
     * @throws CommandException if the call fails or the server refuses it
     */
    public JsonNode call(final HttpMethod method, final String path, final String body) throws CommandException {
        final HttpResponse<Buffer> response = send(method, path, body, Map.of());
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            final ExitCode exitCode = response.statusCode() == CONFLICT ? ExitCode.CONFLICT : ExitCode.FAILED;
            throw new CommandException(exitCode, server + " answers " + response.statusCode() + ": " + text(response));
        }
        return json(text(response));
    }

    /**
     * Makes a call and returns whatever the answer is.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param body the body, empty for none
     * @param headers further headers
     * @return the answer
     * @throws CommandException if no answer comes
     */
    public HttpResponse<Buffer> send(
            final HttpMethod method, final String path, final String body, final Map<String, String> headers)
            throws CommandException {
        final HttpRequest<Buffer> request = client.request(method, server.getPort(), server.getHost(), path)
                .timeout(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        if (!token.isEmpty()) {
            request.bearerTokenAuthentication(token);
        }
        headers.forEach(request::putHeader);
        try {
            return request.sendBuffer(Buffer.buffer(body))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (final ExecutionException | TimeoutException e) {
            throw new CommandException(ExitCode.FAILED, "no answer from " + server + ": " + e.getMessage());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted");
        }
    }

    /**
     * Returns the body of an answer.
     *
     * @param response the answer
     * @return the body as text
     */
    public static String text(final HttpResponse<Buffer> response) {
        final String text = response.bodyAsString();
        return text == null ? "" : text;
    }

    @Override
    public void close() {
        vertx.close();
    }

    private static JsonNode json(final String text) throws CommandException {
        try {
            return MAPPER.readTree(text);
        } catch (final JsonProcessingException e) {
            throw new CommandException(ExitCode.FAILED, "the answer is not JSON: " + text);
        }
    }
}
