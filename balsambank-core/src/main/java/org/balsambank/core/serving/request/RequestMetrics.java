package org.balsambank.core.serving.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Records the outcomes of requests and their time to the first chunk.
 *
 * <p>Confined to the decision loop.
 */
public final class RequestMetrics {
    private static final String PREFIX = "balsambank.serving.";

    private final MeterRegistry registry;
    private final Map<String, Counter> outcomeCounters = new HashMap<>();
    private final Map<String, Counter> choiceCounters = new HashMap<>();
    private final Map<String, Timer> firstChunkTimers = new HashMap<>();

    /**
     * Creates the meters.
     *
     * @param registry the registry in which they are registered
     */
    public RequestMetrics(final MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Counts the end of a request.
     *
     * @param outcome the outcome, used as a tag
     */
    public void outcome(final String outcome) {
        outcomeCounters
                .computeIfAbsent(outcome, kind -> registry.counter(PREFIX + "outcomes", "kind", kind))
                .increment();
    }

    /**
     * Records the time to the first chunk of a response.
     *
     * @param service the service
     * @param time the time since the request arrived
     */
    public void firstChunk(final String service, final Duration time) {
        firstChunkTimers
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

    /** Counts a start of a target that was marked as leaving because of its response. */
    public void targetLeaving() {
        registry.counter(PREFIX + "target.marks", "kind", "leaving").increment();
    }

    /** Counts a limit of a target that has begun, changed or ended in a response. */
    public void targetLimitChanged() {
        registry.counter(PREFIX + "target.marks", "kind", "limit").increment();
    }

    /**
     * Counts the answer to the request for a permit of a target that limits its requests.
     *
     * @param granted whether there is a permit
     */
    public void permit(final boolean granted) {
        registry.counter(PREFIX + "target.permits", "granted", String.valueOf(granted))
                .increment();
    }

    /**
     * Counts a choice of a target.
     *
     * @param kind how it was made
     */
    public void targetChosen(final String kind) {
        choiceCounters
                .computeIfAbsent(kind, each -> registry.counter(PREFIX + "target.choices", "kind", each))
                .increment();
    }

    /** Counts a rejection with which a target asked for a pause. */
    public void targetPaused() {
        registry.counter(PREFIX + "target.marks", "kind", "pause").increment();
    }
}
