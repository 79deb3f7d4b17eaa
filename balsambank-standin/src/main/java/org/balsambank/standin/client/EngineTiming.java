package org.balsambank.standin.client;

import io.vertx.core.json.JsonObject;

/**
 * The timestamps that an engine sends with each token of a stream, from the monotonic clock of the machine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestNanos when the engine received the request
 * @param tokenNanos when the engine wrote the token
 */
public record EngineTiming(long requestNanos, long tokenNanos) {
    /** The field of an event that holds the timestamps. */
    public static final String FIELD = "timing";

    private static final String REQUEST = "request_nanos";
    private static final String TOKEN = "token_nanos";

    /**
     * Reads the timestamps of an event.
     *
     * @param event the event
     * @return the timestamps, zero if the event has none
     */
    static EngineTiming of(final JsonObject event) {
        final JsonObject timing = event.getJsonObject(FIELD);
        return timing == null
                ? new EngineTiming(0, 0)
                : new EngineTiming(timing.getLong(REQUEST, 0L), timing.getLong(TOKEN, 0L));
    }

    /**
     * Returns the timestamps as the value of {@link #FIELD}.
     *
     * @return the JSON object
     */
    public JsonObject toJson() {
        return new JsonObject().put(REQUEST, requestNanos).put(TOKEN, tokenNanos);
    }
}
