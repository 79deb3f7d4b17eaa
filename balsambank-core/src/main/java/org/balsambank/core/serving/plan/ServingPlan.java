package org.balsambank.core.serving.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;

/**
 * One version of the operator's configuration.
 *
 * <p>Immutable and thread-safe.
 */
public final class ServingPlan {
    private final long version;
    private final CallerBounds bounds;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServiceSpec> services = new HashMap<>();
    private final Map<TeamId, TeamSpec> teams = new HashMap<>();
    private final Map<String, TeamSpec> teamsByKey = new HashMap<>();

    /**
     * Creates a plan.
     *
     * @param version the version that the operator assigned; it never decreases
     * @param routes the routes
     * @param services the services
     * @param teams the teams; if empty, callers need no API key
     * @param bounds the limits for callers
     */
    public ServingPlan(
            final long version,
            final Collection<Route> routes,
            final Collection<ServiceSpec> services,
            final Collection<TeamSpec> teams,
            final CallerBounds bounds) {
        this.version = version;
        this.bounds = bounds;
        for (final Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        final Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(each -> each.sort(longestFirst));
        services.forEach(each -> this.services.put(each.name(), each));
        for (final TeamSpec team : teams) {
            this.teams.put(team.id(), team);
            team.keys().forEach(key -> teamsByKey.put(key, team));
        }
    }

    /**
     * Returns the version that the operator assigned.
     *
     * @return the version; it never decreases
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the size and time limits
     */
    public CallerBounds bounds() {
        return bounds;
    }

    /**
     * Finds the route with the longest matching path prefix.
     *
     * @param host the host that the caller requests
     * @param path the path, without a query
     * @return the route, if there is one
     */
    public Optional<Route> route(final String host, final String path) {
        for (final Route route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a service.
     *
     * @param name the service
     * @return its description, if the plan has it
     */
    public Optional<ServiceSpec> service(final ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the services.
     *
     * @return all services of the plan
     */
    public Collection<ServiceSpec> services() {
        return services.values();
    }

    /**
     * Returns whether callers need an API key.
     *
     * @return true if the plan has teams
     */
    public boolean requiresKeys() {
        return !teams.isEmpty();
    }

    /**
     * Finds the team that owns an API key.
     *
     * @param key the API key
     * @return the team, if one owns the key
     */
    public Optional<TeamSpec> teamOf(final String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /**
     * Returns the teams.
     *
     * @return all teams of the plan
     */
    public Collection<TeamSpec> teams() {
        return teams.values();
    }
}
