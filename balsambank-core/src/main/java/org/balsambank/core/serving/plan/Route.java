package org.balsambank.core.serving.plan;

import java.util.List;

import org.balsambank.core.id.ServiceName;

/**
 * One route of the plan.
 *
 * <p>Immutable and thread-safe. Has at least one service.
 *
 * @param name the name in logs
 * @param host the host that callers name
 * @param pathPrefix the prefix of the path; begins and ends with a slash
 * @param repeatPolicy how often a request may run
 * @param resumable whether a stream may go on at another target after its last event
 * @param timeoutMillis the longest time that a request may last, 0 for no bound
 * @param targetLatencyMillis the time to the answer, or to its first event, that the operator aims at
 * @param eventGapMillis the longest pause between events that the operator aims at, 0 if there is none
 * @param priority the rank, 0 first
 * @param maxAttempts the most targets that may run one request
 * @param anonymous whether callers need no key
 * @param services where requests go
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
    /** Takes a copy of the services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Chooses a service by the weights.
     *
     * @param draw a number from 0 to below 1
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
