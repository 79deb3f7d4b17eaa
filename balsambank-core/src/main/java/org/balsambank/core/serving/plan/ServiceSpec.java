package org.balsambank.core.serving.plan;

import java.util.Optional;

import org.balsambank.core.id.ServiceName;

/**
 * One service of the plan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the service
 * @param maxConnections the connections that one target takes from all callers together, 0 for no bound
 * @param coldMillis how long a target is cold after its start
 * @param coldPerSecond the requests a second that a target bears while it is cold, 0 for no bound
 * @param engine what its targets bear if they run models
 */
public record ServiceSpec(
        ServiceName name, int maxConnections, long coldMillis, double coldPerSecond, Optional<EngineSpec> engine) {}
