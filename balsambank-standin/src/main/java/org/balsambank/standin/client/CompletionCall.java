package org.balsambank.standin.client;

import io.vertx.core.json.JsonObject;
import org.balsambank.standin.engine.AnswerText;

/**
 * A call for a completion.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the caller's API key
 * @param model the adapter, or {@code adapter@version}
 * @param prompt the prompt
 * @param maxTokens the number of tokens of the completion
 * @param stream true for server-sent events
 */
public record CompletionCall(String key, String model, String prompt, int maxTokens, boolean stream) {
    private static final int CHARS_PER_TOKEN = 4;
    private static final int QUOTES = 2;

    /**
     * Returns the request body.
     *
     * @return the JSON object
     */
    JsonObject body() {
        final JsonObject body =
                new JsonObject().put("model", model).put("prompt", prompt).put("max_tokens", maxTokens);
        return stream ? body.put("stream", true) : body;
    }

    /**
     * Returns the maximum number of tokens of the call, as the team's rate counts them.
     *
     * @return tokens of prompt and completion
     */
    public int costInTokens() {
        return maxTokens + (prompt.length() + QUOTES) / CHARS_PER_TOKEN;
    }

    /**
     * Returns whether a text is the completion that the stand-in engine generates for this call.
     *
     * @param adapter the expected adapter and version
     * @param text the text of the response
     * @return true if the text equals the expected one
     */
    public boolean isAnsweredBy(final String adapter, final String text) {
        return AnswerText.answer(adapter, prompt, maxTokens).equals(text);
    }
}
