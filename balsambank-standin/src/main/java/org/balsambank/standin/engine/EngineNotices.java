package org.balsambank.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * What an engine says of itself in its answers, as control calls ask for it, and whether its callers heed it.
 *
 * <p>Confined to the event loop of its engine.
 */
final class EngineNotices {
    private static final long SPAN_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long SETTLE_NANOS = Duration.ofSeconds(3).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;
    private static final long CROSSING_NANOS = Duration.ofMillis(500).toNanos();
    private static final int MAX_LATE_PAUSE_REQUESTS = 2;

    private final EngineStats stats;
    private final Deque<Long> requests = new ArrayDeque<>();
    private boolean leaving;
    private String requestLimit = "";
    private long pausedUntilNanos;
    private boolean told;
    private long toldNanos;
    private int latePauseRequests;

    /**
     * Creates an instance that says nothing.
     *
     * @param stats counts the requests that come in spite of what was said
     */
    EngineNotices(final EngineStats stats) {
        this.stats = stats;
    }

    /**
     * Changes what a control order names and leaves the rest unchanged.
     *
     * @param order may hold {@code leaving}, {@code requestLimit} and {@code pauseSeconds}, a number
     * @param now the time of the timer service, in nanoseconds
     */
    void apply(final JsonObject order, final long now) {
        if (order.containsKey("leaving") || order.containsKey("requestLimit") || order.containsKey("pauseSeconds")) {
            told = false;
            requests.clear();
        }
        leaving = order.getBoolean("leaving", leaving);
        requestLimit = order.getString("requestLimit", requestLimit);
        if (order.containsKey("pauseSeconds")) {
            pausedUntilNanos = now + (long) (order.getDouble("pauseSeconds") * NANOS_PER_SECOND);
            latePauseRequests = 0;
        }
    }

    /**
     * Adds what the engine says of itself to the head of a response.
     *
     * @param response the response
     * @param now the time of the timer service, in nanoseconds
     */
    void addTo(final HttpServerResponse response, final long now) {
        if (!told) {
            told = true;
            toldNanos = now;
        }
        if (leaving) {
            response.putHeader("X-Leaving", "1");
        }
        if (!requestLimit.isEmpty()) {
            response.putHeader("X-Request-Limit", requestLimit);
        }
        if (pausing(now)) {
            response.putHeader(
                    "Retry-After", String.format(Locale.ROOT, "%.3f", (pausedUntilNanos - now) / NANOS_PER_SECOND));
        }
    }

    /**
     * Returns whether the engine wants no requests for a time.
     *
     * @param now the time of the timer service, in nanoseconds
     * @return true in a pause
     */
    boolean pausing(final long now) {
        return pausedUntilNanos - now > 0;
    }

    /**
     * Counts a request that comes although the engine leaves, pauses or has got enough, some time after an answer has
     * said so.
     *
     * @param now the time of the timer service, in nanoseconds
     */
    void requestArrived(final long now) {
        if (!told) {
            return;
        }
        if (pausing(now) && now - toldNanos >= CROSSING_NANOS && ++latePauseRequests > MAX_LATE_PAUSE_REQUESTS) {
            stats.unheeded++;
        }
        if (now - toldNanos < SETTLE_NANOS) {
            return;
        }
        requests.addLast(now);
        while (now - requests.peekFirst() >= SPAN_NANOS) {
            requests.removeFirst();
        }
        if (leaving || requests.size() > allowed()) {
            stats.unheeded++;
        }
    }

    private double allowed() {
        return requestLimit.isEmpty()
                ? Double.POSITIVE_INFINITY
                : OVERAGE * Double.parseDouble(requestLimit) * SPAN_NANOS / NANOS_PER_SECOND + SLACK;
    }
}
