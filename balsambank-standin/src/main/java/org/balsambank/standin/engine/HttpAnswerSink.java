package org.balsambank.standin.engine;

import java.util.Objects;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.EngineTiming;

/**
 * Writes an answer as server-sent events or as one JSON object.
 *
 * <p>Confined to the event loop of its engine. Nothing is written once the response is closed.
 */
final class HttpAnswerSink implements AnswerSink {
    private static final String DONE = "data: [DONE]\n\n";

    private final HttpServerResponse response;
    private final GenerationRequest generation;
    private final boolean chat;
    private final boolean stream;
    private final StringBuilder text = new StringBuilder();

    private final long createdNanos = System.nanoTime();

    private int writtenTokens;

    /**
     * Creates a sink that has written nothing.
     *
     * @param response the HTTP response
     * @param generation the request
     * @param chat true for the format of chat completions, false for text completions
     * @param stream true for server-sent events, false for one JSON object
     */
    HttpAnswerSink(
            final HttpServerResponse response,
            final GenerationRequest generation,
            final boolean chat,
            final boolean stream) {
        this.response = Objects.requireNonNull(response);
        this.generation = Objects.requireNonNull(generation);
        this.chat = chat;
        this.stream = stream;
        response.putHeader("content-type", stream ? "text/event-stream" : "application/json");
        response.setChunked(stream);
    }

    @Override
    public void token(final String token) {
        writtenTokens++;
        if (stream) {
            final JsonObject event = envelope(streamChoice(token, null));
            event.put(EngineTiming.FIELD, new EngineTiming(createdNanos, System.nanoTime()).toJson());
            write("data: " + event.encode() + "\n\n");
        } else {
            text.append(token);
        }
    }

    @Override
    public void complete() {
        if (response.closed() || response.ended()) {
            return;
        }
        if (stream) {
            final JsonObject last = envelope(streamChoice("", "length")).put("usage", usage());
            response.end("data: " + last.encode() + "\n\n" + DONE);
        } else {
            response.end(envelope(completeChoice()).put("usage", usage()).toBuffer());
        }
    }

    @Override
    public void abort() {
        response.closeHandler(null);
        response.reset();
    }

    private void write(final String event) {
        if (!response.closed()) {
            response.write(event);
        }
    }

    private JsonObject envelope(final JsonObject choice) {
        final String objectType = chat ? stream ? "chat.completion.chunk" : "chat.completion" : "text_completion";
        return new JsonObject()
                .put("id", "cmpl-" + generation.id())
                .put("object", objectType)
                .put("model", generation.adapter())
                .put("choices", new JsonArray().add(choice));
    }

    private JsonObject streamChoice(final String token, final String finishReason) {
        final JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason);
        return chat ? choice.put("delta", new JsonObject().put("content", token)) : choice.put("text", token);
    }

    private JsonObject completeChoice() {
        final JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", "length");
        return chat
                ? choice.put(
                        "message", new JsonObject().put("role", "assistant").put("content", text.toString()))
                : choice.put("text", text.toString());
    }

    private JsonObject usage() {
        final int promptTokens = AnswerText.tokensOf(generation.prompt());
        return new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", writtenTokens)
                .put("total_tokens", promptTokens + writtenTokens);
    }
}
