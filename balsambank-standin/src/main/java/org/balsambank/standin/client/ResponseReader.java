package org.balsambank.standin.client;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.balsambank.standin.client.CallResult.Outcome;

/**
 * Reads one response, as a JSON object or as server-sent events.
 *
 * <p>Invariant: the result is delivered exactly once. The methods may be called from the event loops of the client and
 * of the time limit; the first call that ends the response determines the result.
 */
final class ResponseReader {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";
    private static final int FIRST_ERROR_STATUS = 400;

    private final long startNanos;
    private final TokenListener tokens;
    private final Consumer<CallResult> onResult;
    private final List<Runnable> onFinished = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();

    private HttpClientResponse response;
    private JsonObject error;
    private boolean doneReceived;
    private boolean fullyRead;
    private boolean ended;
    private long firstTokenNanos;

    /**
     * Creates a reader for a response that has not arrived.
     *
     * @param startNanos when the call was sent
     * @param tokens receives the tokens of a stream
     * @param onResult receives the result
     */
    ResponseReader(final long startNanos, final TokenListener tokens, final Consumer<CallResult> onResult) {
        this.startNanos = startNanos;
        this.tokens = tokens;
        this.onResult = onResult;
    }

    /**
     * Adds an action that runs after the result is delivered, or at once if it already is.
     *
     * @param action the action
     */
    synchronized void onFinished(final Runnable action) {
        if (ended) {
            action.run();
        } else {
            onFinished.add(action);
        }
    }

    /**
     * Returns whether the response was read to its end, so that the connection is reusable.
     *
     * @return true once the whole response was read
     */
    synchronized boolean fullyRead() {
        return fullyRead;
    }

    /**
     * Ends the call because the connection could not be established.
     *
     * @param cause the failure
     */
    void connectFailed(final Throwable cause) {
        finish(Outcome.NOT_CONNECTED, String.valueOf(cause.getMessage()));
    }

    /**
     * Ends the call because the connection was lost.
     *
     * @param cause a description of the failure
     */
    void connectionLost(final String cause) {
        finish(Outcome.TRUNCATED, cause);
    }

    /** Ends the call because its time limit expired. */
    void timedOut() {
        finish(Outcome.TIMEOUT, "timeout");
    }

    /**
     * Reads the body of the response.
     *
     * @param head the response with status and headers
     */
    void read(final HttpClientResponse head) {
        response = head;
        head.exceptionHandler(cause -> connectionLost(String.valueOf(cause.getMessage())));
        final String type = head.getHeader("Content-Type");
        if (type != null && type.startsWith(EVENT_STREAM) && head.statusCode() < FIRST_ERROR_STATUS) {
            head.handler(RecordParser.newDelimited("\n", this::handleLine));
            head.endHandler(ignored -> handleStreamEnd());
        } else {
            head.bodyHandler(this::handleBody);
        }
    }

    private void handleLine(final Buffer line) {
        final String event = line.toString();
        if (!event.startsWith(DATA)) {
            return;
        }
        final String data = event.substring(DATA.length());
        if (data.equals(DONE)) {
            doneReceived = true;
            return;
        }
        final JsonObject object = new JsonObject(data);
        if (object.containsKey("error")) {
            error = object.getJsonObject("error");
            return;
        }
        final String token = textOf(object);
        if (!token.isEmpty()) {
            recordToken(object);
            text.append(token);
        }
    }

    private void recordToken(final JsonObject event) {
        final long now = System.nanoTime();
        if (firstTokenNanos == 0) {
            firstTokenNanos = now;
        }
        tokens.token(now, EngineTiming.of(event));
    }

    private void handleStreamEnd() {
        fullyRead = true;
        if (error != null) {
            finish(Outcome.ERROR, "");
        } else {
            finish(doneReceived ? Outcome.COMPLETE : Outcome.TRUNCATED, doneReceived ? "" : "the stream ended early");
        }
    }

    private void handleBody(final Buffer body) {
        fullyRead = true;
        firstTokenNanos = System.nanoTime();
        JsonObject object = null;
        try {
            object = body.length() == 0 ? new JsonObject() : new JsonObject(body);
        } catch (final DecodeException e) {
            text.append(body.toString());
        }
        if (object != null) {
            error = object.getValue("error") instanceof JsonObject found ? found : null;
            text.append(object.containsKey("choices") ? textOf(object) : body.toString());
        }
        finish(response.statusCode() < FIRST_ERROR_STATUS ? Outcome.COMPLETE : Outcome.ERROR, "");
    }

    private static String textOf(final JsonObject event) {
        final JsonArray choices = event.getJsonArray("choices");
        if (choices == null || choices.isEmpty()) {
            return "";
        }
        final JsonObject choice = choices.getJsonObject(0);
        final JsonObject content = choice.getJsonObject("delta", choice.getJsonObject("message", choice));
        return content.getString("text", content.getString("content", ""));
    }

    private void finish(final Outcome outcome, final String cause) {
        final List<Runnable> actions;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            actions = List.copyOf(onFinished);
        }
        onResult.accept(result(outcome, cause));
        actions.forEach(Runnable::run);
    }

    private CallResult result(final Outcome outcome, final String cause) {
        final long now = System.nanoTime();
        final String kind = error == null ? cause : error.getString("kind", "");
        final String ran = error == null ? "" : error.getString("ran", "");
        return new CallResult(
                outcome,
                response == null ? 0 : response.statusCode(),
                outcome == Outcome.COMPLETE ? "" : String.valueOf(kind),
                ran,
                header("X-Balsambank-Target"),
                header("X-Balsambank-Adapter"),
                header("X-Trace-Id"),
                text.toString(),
                (firstTokenNanos == 0 ? now : firstTokenNanos) - startNanos,
                now - startNanos);
    }

    private String header(final String name) {
        final String value = response == null ? null : response.getHeader(name);
        return value == null ? "" : value;
    }
}
