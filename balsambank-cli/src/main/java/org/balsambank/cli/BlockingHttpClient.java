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
import io.vertx.ext.web.client.WebClientOptions;

/**
 * A blocking HTTP client for the operators' and callers' ports of a VM.
 *
 * <p>Invariant: a connection carries one request, so no bytes behind a response are taken for the next one. Confined to
 * one thread. Must be closed after use.
 */
public final class BlockingHttpClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_SECONDS = 60;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int CONFLICT = 409;

    private final URI server;
    private final String token;
    private final Vertx vertx = Vertx.vertx();
    private final WebClient client = WebClient.create(vertx, new WebClientOptions().setKeepAlive(false));

    /**
     * Creates a client.
     *
     * @param server the URL of the server, such as {@code http://127.0.0.1:18091}
     * @param token the bearer token, empty for none
     * @throws CommandException if the URL is malformed or has no host or port
     */
    public BlockingHttpClient(final String server, final String token) throws CommandException {
        try {
            this.server = new URI(server);
        } catch (final URISyntaxException e) {
            throw new CommandException(ExitCode.INVALID, "malformed URL: " + server);
        }
        if (this.server.getHost() == null || this.server.getPort() < 0) {
            throw new CommandException(ExitCode.INVALID, "URL without host or port: " + server);
        }
        this.token = token;
    }

    /**
     * Sends a request and expects a JSON response.
     *
     * @param method the HTTP method
     * @param path the path and query string
     * @param body the request body, empty for none
     * @return the parsed response body
     * @throws CommandException if the call fails, the status is 400 or higher, or the response is not JSON
     */
    public JsonNode call(final HttpMethod method, final String path, final String body) throws CommandException {
        final HttpResponse<Buffer> response = send(method, path, body, Map.of());
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            final ExitCode exitCode = response.statusCode() == CONFLICT ? ExitCode.CONFLICT : ExitCode.FAILED;
            throw new CommandException(
                    exitCode, server + " responded with status " + response.statusCode() + ": " + bodyText(response));
        }
        return json(bodyText(response));
    }

    /**
     * Sends a request and returns the response with any status.
     *
     * @param method the HTTP method
     * @param path the path and query string
     * @param body the request body, empty for none
     * @param headers additional headers
     * @return the response
     * @throws CommandException if no response arrives within 60 seconds
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
            throw new CommandException(ExitCode.FAILED, "no response from " + server + ": " + e.getMessage());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted");
        }
    }

    /**
     * Returns the body of a response.
     *
     * @param response the response
     * @return the body as text, empty if there is none
     */
    public static String bodyText(final HttpResponse<Buffer> response) {
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
            throw new CommandException(ExitCode.FAILED, "the response is not JSON: " + text);
        }
    }
}
