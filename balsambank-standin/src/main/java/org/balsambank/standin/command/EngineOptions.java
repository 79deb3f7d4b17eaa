package org.balsambank.standin.command;

import java.time.Duration;

import com.github.rvesse.airline.annotations.Option;
import org.balsambank.standin.engine.EngineSettings;

/**
 * The options that configure the behaviour of engines.
 *
 * <p>Populated by Airline and not modified afterwards.
 */
public final class EngineOptions {
    @Option(name = "--base-model", description = "base model that the engine serves")
    private String baseModel = "base";

    @Option(name = "--slots", description = "number of adapter slots")
    private int slots = 8;

    @Option(name = "--concurrency", description = "maximum number of concurrent requests when warm")
    private int concurrency = 32;

    @Option(name = "--fencing", description = "reject orders and requests with a stale fencing number")
    private boolean fencing;

    @Option(name = "--report-lag-ms", description = "age of the load report in milliseconds")
    private long reportLagMillis = 200;

    @Option(name = "--token-ms", description = "milliseconds between tokens at batch size 1")
    private double tokenMillis = 10;

    @Option(name = "--load-ms", description = "milliseconds of one adapter load while few loads are in flight")
    private long loadMillis = 250;

    /**
     * Returns the settings of one engine.
     *
     * @param name the name of the engine
     * @param fenced true to reject stale fencing numbers regardless of the option
     * @return the settings
     */
    public EngineSettings settings(final String name, final boolean fenced) {
        return new EngineSettings(
                name,
                baseModel,
                slots,
                concurrency,
                fencing || fenced,
                Duration.ofMillis(reportLagMillis),
                Duration.ofNanos((long) (tokenMillis * 1_000_000)));
    }

    /**
     * Returns the duration of one adapter load.
     *
     * @return the duration while few loads are in flight
     */
    public Duration loadTime() {
        return Duration.ofMillis(loadMillis);
    }
}
