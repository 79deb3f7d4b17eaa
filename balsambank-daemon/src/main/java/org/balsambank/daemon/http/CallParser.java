package org.balsambank.daemon.http;

import java.io.IOException;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import net.openhft.hashing.LongHashFunction;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.IdempotencyKey;
import org.balsambank.core.id.RequestId;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.request.CallerRequest;
import org.balsambank.core.request.RequestSubject;

/**
 * Parses HTTP requests of callers into {@link CallerRequest}s.
 *
 * <p>Stateless and thread-safe.
 */
final class CallParser {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SERVICES = "/services/";
    private static final Pattern DOT_SEGMENT = Pattern.compile("/(\\.|%2[eE]){1,2}(/|$)");
    private static final Pattern VISIBLE_ASCII = Pattern.compile("[!-~]*");
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_CHARACTERS = 256;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private CallParser() {}

    /**
     * Parses a request.
     *
     * @param id the id assigned to the request
     * @param request the head of the request
     * @param body the body of the request
     * @param deadlineNanos the monotonic time until which the caller waits
     * @param traceParent the trace context of the entry span
     * @return the parsed request
     * @throws BalsambankException if the request is malformed or its path is unknown
     */
    static CallerRequest parse(
            final RequestId id,
            final HttpServerRequest request,
            final Buffer body,
            final long deadlineNanos,
            final String traceParent)
            throws BalsambankException {
        final String path = request.path();
        if (path.startsWith(SERVICES)) {
            return serviceCall(id, request, body, deadlineNanos, traceParent);
        }
        final boolean chat = path.equals("/v1/chat/completions");
        if (!chat && !path.equals("/v1/completions")) {
            throw new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "there is no route for " + path);
        }
        final JsonNode json = parseObject(body);
        final JsonNode model = json.path("model");
        if (!model.isTextual() || model.textValue().isEmpty()) {
            throw malformed("\"model\" is missing or not a text");
        }
        final JsonNode prompt = json.path(chat ? "messages" : "prompt");
        if (prompt.isMissingNode() || chat && !prompt.isArray()) {
            throw malformed(chat ? "\"messages\" is missing or not a list" : "\"prompt\" is missing");
        }
        return new CallerRequest(
                id,
                CredentialFilter.extractKey(request),
                new RequestSubject.AdapterCall(model.textValue()),
                requirePost(request),
                CredentialFilter.removeCredentials(path, request.query()),
                CredentialFilter.removeCredentials(request.headers()),
                ByteString.copyFrom(body.getBytes()),
                isStreaming(json),
                estimateTokens(json, prompt),
                prefixHash(prompt),
                idempotencyKey(request),
                deadlineNanos,
                traceParent);
    }

    private static CallerRequest serviceCall(
            final RequestId id,
            final HttpServerRequest request,
            final Buffer body,
            final long deadlineNanos,
            final String traceParent)
            throws BalsambankException {
        if (!VISIBLE_ASCII.matcher(request.uri()).matches()) {
            throw malformed("the path or the query has a byte that is no character of a URI");
        }
        if (request.method().equals(HttpMethod.CONNECT)) {
            throw malformed("a tunnel can't be opened to a path");
        }
        final String rest = request.path().substring(SERVICES.length());
        final int slash = rest.indexOf('/');
        final String name = slash < 0 ? rest : rest.substring(0, slash);
        if (name.isEmpty()) {
            throw new BalsambankException(ErrorKind.UNKNOWN_SERVICE, "the path names no service");
        }
        final String path = slash < 0 ? "/" : rest.substring(slash);
        if (DOT_SEGMENT.matcher(path).find()) {
            throw malformed("the path has a segment of dots");
        }
        return new CallerRequest(
                id,
                CredentialFilter.extractKey(request),
                new RequestSubject.ServiceCall(new ServiceName(name), path),
                request.method().name(),
                CredentialFilter.removeCredentials(path, request.query()),
                CredentialFilter.removeCredentials(request.headers()),
                ByteString.copyFrom(body.getBytes()),
                false,
                1,
                0,
                idempotencyKey(request),
                deadlineNanos,
                traceParent);
    }

    private static String requirePost(final HttpServerRequest request) throws BalsambankException {
        if (!"POST".equals(request.method().name())) {
            throw new BalsambankException(ErrorKind.UNKNOWN_ROUTE, "the route takes POST only");
        }
        return "POST";
    }

    private static String location(final JsonProcessingException error) {
        final JsonLocation location = error.getLocation();
        return location == null ? "" : ": line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    private static JsonNode parseObject(final Buffer body) throws BalsambankException {
        final JsonNode json;
        try {
            json = MAPPER.readTree(body.getBytes());
        } catch (final JsonProcessingException e) {
            throw malformed("the body is not JSON" + location(e));
        } catch (final IOException e) {
            throw malformed("the body is not JSON");
        }
        if (!json.isObject()) {
            throw malformed("the body is not a JSON object");
        }
        return json;
    }

    private static boolean isStreaming(final JsonNode json) throws BalsambankException {
        final JsonNode stream = json.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw malformed("\"stream\" is not true or false");
        }
        return stream.asBoolean(false);
    }

    private static int estimateTokens(final JsonNode json, final JsonNode prompt) throws BalsambankException {
        final JsonNode max = json.has("max_tokens") ? json.get("max_tokens") : json.path("max_completion_tokens");
        if (!max.isMissingNode() && (!max.canConvertToInt() || max.intValue() < 1 || max.intValue() > MAX_TOKENS)) {
            throw malformed("\"max_tokens\" is not between 1 and " + MAX_TOKENS);
        }
        return max.asInt(DEFAULT_MAX_TOKENS) + prompt.toString().length() / BYTES_PER_TOKEN;
    }

    private static long prefixHash(final JsonNode prompt) {
        final String text = prompt.toString();
        return HASH.hashChars(text.substring(0, Math.min(text.length(), PREFIX_CHARACTERS)));
    }

    private static Optional<IdempotencyKey> idempotencyKey(final HttpServerRequest request) throws BalsambankException {
        final String value = request.getHeader(IDEMPOTENCY_KEY);
        if (value == null) {
            return Optional.empty();
        }
        if (value.isBlank() || value.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw malformed("Idempotency-Key is empty or longer than " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters");
        }
        return Optional.of(new IdempotencyKey(value));
    }

    private static BalsambankException malformed(final String message) {
        return new BalsambankException(ErrorKind.MALFORMED_REQUEST, message);
    }
}
