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
 * @param queued the number of queued requests
 * @param runningByAdapter the number of running requests of each loaded adapter
 */
record EngineReport(String bootId, int running, int queued, Map<String, Integer> runningByAdapter) {
    /** Copies the map. */
    EngineReport {
        runningByAdapter = Map.copyOf(runningByAdapter);
    }

    /**
     * Returns the report in the format of the HTTP interface.
     *
     * @return the JSON object
     */
    JsonObject toJson() {
        final JsonObject byAdapter = new JsonObject();
        runningByAdapter.forEach(byAdapter::put);
        return new JsonObject()
                .put("bootId", bootId)
                .put("running", running)
                .put("waiting", queued)
                .put("adapters", byAdapter);
    }
}
