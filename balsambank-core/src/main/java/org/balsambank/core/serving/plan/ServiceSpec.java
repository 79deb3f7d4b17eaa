package org.balsambank.core.serving.plan;

import java.util.Optional;

import org.balsambank.core.id.ServiceName;

/**
 * One service of the plan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the service
 * @param maxConnections the connections that one target accepts from all VMs together, 0 for no limit
 * @param coldMillis how long a target stays cold after its start
 * @param coldPerSecond the requests per second that a target accepts while it is cold, 0 for no limit
 * @param engine the capacity of its targets, if they run models
 * @param scaling how the number of its targets may be changed, if the fleet may change it
 */
public record ServiceSpec(
        ServiceName name,
        int maxConnections,
        long coldMillis,
        double coldPerSecond,
        Optional<EngineSpec> engine,
        Optional<ScalingSpec> scaling) {
    /**
     * Creates a service whose number of targets is not changed by the fleet.
     *
     * @param name the service
     * @param maxConnections the connections that one target accepts from all VMs together, 0 for no limit
     * @param coldMillis how long a target stays cold after its start
     * @param coldPerSecond the requests per second that a target accepts while it is cold, 0 for no limit
     * @param engine the capacity of its targets, if they run models
     */
    public ServiceSpec(
            final ServiceName name,
            final int maxConnections,
            final long coldMillis,
            final double coldPerSecond,
            final Optional<EngineSpec> engine) {
        this(name, maxConnections, coldMillis, coldPerSecond, engine, Optional.empty());
    }
}
