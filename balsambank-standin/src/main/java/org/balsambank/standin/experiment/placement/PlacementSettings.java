package org.balsambank.standin.experiment.placement;

import java.time.Duration;

/**
 * The size and length of a placement run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param targets the number of model runners
 * @param adapters the number of adapters
 * @param slots the number of adapter slots of a model runner
 * @param concurrency the number of requests that a model runner runs at once
 * @param ratePerSecond the requests a second
 * @param runTime the duration of a request
 * @param duration the time in which requests are sent
 * @param seed the seed of all random choices
 */
record PlacementSettings(
        int targets,
        int adapters,
        int slots,
        int concurrency,
        double ratePerSecond,
        Duration runTime,
        Duration duration,
        long seed) {}
