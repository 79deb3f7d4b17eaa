package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counts how requests end and how long they take.
 *
 * <p>Confined to the decision loop.
 */
public final class RequestMetrics {
    private static final String PREFIX = "balsambank.serving.";

    private final MeterRegistry registry;
    private final Map<String, Counter> outcomes = new HashMap<>();
    private final Map<String, Timer> firstPieces = new HashMap<>();

    /**
     * Creates the meters.
     *
     * @param registry holds them
     */
    public RequestMetrics(final MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Counts the end of a request.
     *
     * @param outcome how it ended
     */
    public void outcome(final String outcome) {
        outcomes.computeIfAbsent(outcome, kind -> registry.counter(PREFIX + "outcomes", "kind", kind))
                .increment();
    }

    /**
     * Notes the time to the first piece of an answer.
     *
     * @param service the service
     * @param time the time since the request arrived
     */
    public void firstPiece(final String service, final Duration time) {
        firstPieces
                .computeIfAbsent(service, name -> Timer.builder(PREFIX + "first.piece")
                        .tag("service", name)
                        .serviceLevelObjectives(
                                Duration.ofMillis(100),
                                Duration.ofMillis(300),
                                Duration.ofMillis(1_000),
                                Duration.ofMillis(4_000))
                        .register(registry))
                .record(time);
    }
}
