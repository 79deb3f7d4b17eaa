package org.balsambank.core.serving.plan;

import java.util.List;

import org.balsambank.core.id.ServiceName;

/**
 * One route of the plan.
 *
 * <p>Immutable and thread-safe. Has at least one service.
 *
 * @param name the name, used in logs
 * @param host the host that callers request
 * @param pathPrefix the path prefix; starts and ends with a slash
 * @param repeatPolicy whether a request may run more than once
 * @param resumable whether a stream may be resumed at another target after its last event
 * @param timeoutMillis the maximum duration of a request, 0 for no limit
 * @param targetLatencyMillis the latency objective for the response, or for its first event
 * @param eventGapMillis the objective for the longest pause between events, 0 if there is none
 * @param priority the priority; 0 is the highest
 * @param maxAttempts the maximum number of targets that may run one request
 * @param anonymous whether callers need no API key
 * @param services the services among which requests are split
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RepeatPolicy repeatPolicy,
        boolean resumable,
        long timeoutMillis,
        long targetLatencyMillis,
        long eventGapMillis,
        int priority,
        int maxAttempts,
        boolean anonymous,
        List<WeightedService> services) {
    /** Copies the services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Chooses a service according to the weights.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service
     */
    public ServiceName service(final double draw) {
        double total = 0;
        for (final WeightedService each : services) {
            total += each.weight();
        }
        double rest = draw * total;
        for (final WeightedService each : services) {
            rest -= each.weight();
            if (rest < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
