package org.balsambank.standin.kv;

import java.util.TreeMap;

import io.vertx.core.json.JsonObject;

/**
 * Counts calls by kind and the most calls in one second.
 *
 * <p>Confined to the event loop of its server.
 */
final class CallCounters {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TreeMap<String, Long> byKind = new TreeMap<>();

    private long startNanos = System.nanoTime();
    private long currentSecond;
    private long callsInCurrentSecond;
    private long busiestSecond;
    private long total;

    /**
     * Counts one call.
     *
     * @param kind the name of the operation
     */
    void count(final String kind) {
        byKind.merge(kind, 1L, Long::sum);
        total++;
        final long now = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        if (now != currentSecond) {
            currentSecond = now;
            callsInCurrentSecond = 0;
        }
        callsInCurrentSecond++;
        busiestSecond = Math.max(busiestSecond, callsInCurrentSecond);
    }

    /** Resets all counters and restarts the measured time. */
    void reset() {
        byKind.clear();
        startNanos = System.nanoTime();
        currentSecond = 0;
        callsInCurrentSecond = 0;
        busiestSecond = 0;
        total = 0;
    }

    /**
     * Returns the counters.
     *
     * @return the calls by kind, the total, the most calls in one second and the seconds since the last reset
     */
    JsonObject toJson() {
        final JsonObject calls = new JsonObject();
        byKind.forEach(calls::put);
        final double seconds = (System.nanoTime() - startNanos) / (double) NANOS_PER_SECOND;
        return new JsonObject()
                .put("calls", calls)
                .put("total", total)
                .put("busiestSecond", busiestSecond)
                .put("seconds", seconds);
    }
}
