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
 */
public record ServiceSpec(
        ServiceName name, int maxConnections, long coldMillis, double coldPerSecond, Optional<EngineSpec> engine) {}
