package org.balsambank.standin.engine;

import java.util.Map;

import io.vertx.core.json.JsonObject;

/**
 * The load report of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bootId identifies the run of the engine; changes with each restart
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param adapters the number of running requests by loaded adapter
 */
record EngineReport(String bootId, int running, int waiting, Map<String, Integer> adapters) {
    /** Copies the map of adapters. */
    EngineReport {
        adapters = Map.copyOf(adapters);
    }

    /**
     * Returns the report in the format of the HTTP interface.
     *
     * @return the JSON object
     */
    JsonObject toJson() {
        final JsonObject byAdapter = new JsonObject();
        adapters.forEach(byAdapter::put);
        return new JsonObject()
                .put("bootId", bootId)
                .put("running", running)
                .put("waiting", waiting)
                .put("adapters", byAdapter);
    }
}
