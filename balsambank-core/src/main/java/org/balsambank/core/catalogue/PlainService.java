package org.balsambank.core.catalogue;

import java.util.List;
import java.util.Set;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;

/**
 * A plain service in the catalogue. A call that matches no route is treated as not idempotent and needs a key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param owner the team that owns it
 * @param callers the teams whose keys may call it, including the owner
 * @param trafficClass the traffic class of its requests
 * @param routes the properties of its calls by method and path
 */
public record PlainService(
        ServiceName name, TeamId owner, Set<TeamId> callers, TrafficClass trafficClass, List<ServiceRoute> routes) {
    /** Copies the collections. */
    public PlainService {
        callers = Set.copyOf(callers);
        routes = List.copyOf(routes);
    }
}
