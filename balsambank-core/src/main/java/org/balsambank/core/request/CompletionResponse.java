package org.balsambank.core.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;

/**
 * Reads what an engine answers: a whole JSON answer or one server-sent event of it.
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
     * Tells whether an event carries data.
     *
     * @param event the event
     * @return false for comments and the like
     */
    static boolean hasData(final ByteString event) {
        return event.startsWith(DATA);
    }

    /**
     * Tells whether an event is the end mark.
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
     * @return the JSON tree, if it is JSON
     */
    static Optional<JsonNode> data(final ByteString event) {
        return json(event.substring(DATA.size()));
    }

    /**
     * Parses a JSON answer.
     *
     * @param body the bytes
     * @return the JSON tree, if it is JSON
     */
    static Optional<JsonNode> json(final ByteString body) {
        try {
            return Optional.ofNullable(JSON.readTree(body.newInput())).filter(JsonNode::isObject);
        } catch (final IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the version that answered.
     *
     * @param answer the JSON tree
     * @return the text of {@code model}, empty if there is none
     */
    static String model(final JsonNode answer) {
        return answer.path("model").asText();
    }

    /**
     * Returns the tokens of prompt and answer.
     *
     * @param answer the JSON tree
     * @return the number, or 0 if none is given
     */
    static long totalTokens(final JsonNode answer) {
        return answer.path("usage").path("total_tokens").asLong();
    }

    /**
     * Tells whether an event may carry a report of the tokens used, without parsing it.
     *
     * @param event the event
     * @return true if it is worth parsing
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
     * Tells whether the first event carries a token.
     *
     * @param answer the JSON tree
     * @return false if it only opens the answer of a chat
     */
    static boolean hasToken(final JsonNode answer) {
        final JsonNode choice = answer.path("choices").path(0);
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
