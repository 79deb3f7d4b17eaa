package org.balsambank.standin.engine;

import java.time.Duration;

/**
 * The capacity and the timing of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the prefix of the boot ids
 * @param baseModel the name of the base model, which is always loaded
 * @param slots the maximum number of adapters that are loaded or being loaded
 * @param concurrency the maximum number of requests that run at once
 * @param fencing true if it rejects calls with a stale fencing number
 * @param reportLag the maximum age of the load report
 * @param tokenTime the duration of a step of a warm engine with one request in the batch
 */
public record EngineSettings(
        String name,
        String baseModel,
        int slots,
        int concurrency,
        boolean fencing,
        Duration reportLag,
        Duration tokenTime) {}
