package org.balsambank.core.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;

/**
 * Parses an engine's response: a complete JSON response or one server-sent event of a streamed one.
 *
 * <p>Stateless and thread-safe.
 */
final class CompletionResponse {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ByteString DATA = ByteString.copyFromUtf8("data:");
    private static final String DONE = "[DONE]";
    private static final byte[] USAGE = "\"usage\"".getBytes(StandardCharsets.UTF_8);

    private CompletionResponse() {}

    /**
     * Returns whether an event carries data.
     *
     * @param event the event
     * @return false for an event that does not start with {@code data:}, such as a comment
     */
    static boolean hasData(final ByteString event) {
        return event.startsWith(DATA);
    }

    /**
     * Returns whether an event is the end marker of a stream.
     *
     * @param event the event
     * @return true for {@code data: [DONE]}
     */
    static boolean isDone(final ByteString event) {
        return event.size() < DATA.size() + 2 * DONE.length()
                && hasData(event)
                && event.substring(DATA.size()).toStringUtf8().trim().equals(DONE);
    }

    /**
     * Parses the data of an event.
     *
     * @param event the event
     * @return the JSON tree, or empty if it is not a JSON object
     */
    static Optional<JsonNode> data(final ByteString event) {
        return json(event.substring(DATA.size()));
    }

    /**
     * Parses a JSON body.
     *
     * @param body the bytes
     * @return the JSON tree, or empty if it is not a JSON object
     */
    static Optional<JsonNode> json(final ByteString body) {
        try {
            return Optional.ofNullable(JSON.readTree(body.newInput())).filter(JsonNode::isObject);
        } catch (final IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the adapter version that produced a response.
     *
     * @param response the JSON tree
     * @return the value of {@code model}, or an empty string if it is missing
     */
    static String model(final JsonNode response) {
        return response.path("model").asText();
    }

    /**
     * Returns the reported token usage.
     *
     * @param response the JSON tree
     * @return the number of prompt and completion tokens, or 0 if none is reported
     */
    static long totalTokens(final JsonNode response) {
        return response.path("usage").path("total_tokens").asLong();
    }

    /**
     * Returns whether an event may report token usage, without parsing it.
     *
     * @param event the event
     * @return true if the event contains the field name, so that it has to be parsed
     */
    static boolean mayReportUsage(final ByteString event) {
        final int last = event.size() - USAGE.length;
        for (int i = 0; i <= last; i++) {
            if (event.byteAt(i) == USAGE[0] && matches(event, i)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the first event of a stream carries a token.
     *
     * @param response the JSON tree
     * @return false if the event only starts a chat response
     */
    static boolean hasToken(final JsonNode response) {
        final JsonNode choice = response.path("choices").path(0);
        final String text = choice.path("text").asText("");
        final String content = choice.path("delta").path("content").asText("");
        return !text.isEmpty() || !content.isEmpty();
    }

    private static boolean matches(final ByteString event, final int at) {
        for (int i = 1; i < USAGE.length; i++) {
            if (event.byteAt(at + i) != USAGE[i]) {
                return false;
            }
        }
        return true;
    }
}
