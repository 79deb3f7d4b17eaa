package org.balsambank.core.serving.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;

/**
 * Records rejected requests by cause and team, and the share of each team's requests that is admitted.
 *
 * <p>Teams are those of the plan, so the number of meters is bounded. Confined to the decision loop; gauges are read by
 * any thread.
 */
public final class AdmissionMetrics {
    private static final String PREFIX = "balsambank.serving.admission.";

    private final MeterRegistry registry;
    private final Map<Tags, AtomicReference<Double>> shares = new HashMap<>();

    /**
     * Creates the meters.
     *
     * @param registry the registry in which they are registered
     */
    public AdmissionMetrics(final MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry);
    }

    /**
     * Counts a rejected request.
     *
     * @param cause why it is rejected
     * @param team its team
     */
    void rejected(final String cause, final Optional<TeamId> team) {
        registry.counter(PREFIX + "rejected", "cause", cause, "team", name(team))
                .increment();
    }

    /**
     * Records the share of a team's requests that is admitted, of the priority of its latest request.
     *
     * @param service the service
     * @param team the team
     * @param share the share, from 0 to 1
     */
    void share(final ServiceName service, final Optional<TeamId> team, final double share) {
        final Tags tags = Tags.of("service", service.value(), "team", name(team));
        shares.computeIfAbsent(tags, this::gauge).set(share);
    }

    private AtomicReference<Double> gauge(final Tags tags) {
        final AtomicReference<Double> value = new AtomicReference<>(1.0);
        registry.gauge(PREFIX + "share", tags, value, AtomicReference::get);
        return value;
    }

    private static String name(final Optional<TeamId> team) {
        return team.map(TeamId::value).orElse("");
    }
}
