package org.balsambank.standin.engine;

import io.vertx.core.json.JsonObject;

/**
 * The counters of an engine.
 *
 * <p>Confined to the event loop of its engine.
 */
final class EngineStats {
    /** Requests that started to run. */
    long started;
    /** Requests with a complete answer. */
    long finished;
    /** Requests whose caller closed the connection. */
    long cancelled;
    /** Requests that the engine aborted. */
    long cut;
    /** Tokens written. */
    long tokens;
    /** Steps of the batch. */
    long steps;
    /** The total duration of all steps, in nanoseconds. */
    long busyNanos;
    /** The sum of the batch sizes of all steps. */
    long batchSum;
    /** The sum over all steps of the batch size times the duration of the step in nanoseconds. */
    double batchNanos;
    /** The maximum number of requests that were running or queued at once. */
    int mostInside;
    /** Completed loads. */
    long loads;
    /** Failed loads. */
    long loadFailures;
    /** Loads requested while a load of the same adapter was in progress. */
    long duplicateLoads;
    /** Loads rejected because no slot was free. */
    long noSlot;
    /** Evictions of a loaded adapter. */
    long evictions;
    /** Evictions of an adapter with running or queued requests. */
    long evictedWhileServing;
    /** Requests rejected because the adapter was not loaded. */
    long notLoaded;
    /** Requests rejected because the queue was full. */
    long busy;
    /** Calls rejected because of a stale fencing number. */
    long fenced;
    /** Calls with a stale fencing number that were accepted because fencing is disabled. */
    long oldFencingTaken;
    /** Restarts caused by a prompt that crashes the engine. */
    long crashes;
    /** Restarts caused by overload of a cold engine. */
    long fellOver;
    /** Restarts for any reason. */
    long restarts;
    /** Requests that came although the engine had said that it leaves, or beyond the limit that it had named. */
    long unheeded;
    /** Calls that carried a key of a caller. */
    long keysSeen;

    /**
     * Returns all counters as JSON.
     *
     * @return the counters by name
     */
    JsonObject toJson() {
        return new JsonObject()
                .put("started", started)
                .put("finished", finished)
                .put("cancelled", cancelled)
                .put("cut", cut)
                .put("tokens", tokens)
                .put("steps", steps)
                .put("busyNanos", busyNanos)
                .put("batchSum", batchSum)
                .put("batchNanos", batchNanos)
                .put("mostInside", mostInside)
                .put("loads", loads)
                .put("loadFailures", loadFailures)
                .put("duplicateLoads", duplicateLoads)
                .put("noSlot", noSlot)
                .put("evictions", evictions)
                .put("evictedWhileServing", evictedWhileServing)
                .put("notLoaded", notLoaded)
                .put("busy", busy)
                .put("fenced", fenced)
                .put("oldFencingTaken", oldFencingTaken)
                .put("crashes", crashes)
                .put("fellOver", fellOver)
                .put("restarts", restarts)
                .put("unheeded", unheeded)
                .put("keysSeen", keysSeen);
    }
}
