package org.balsambank.core.serving.request;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.plan.Route;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;

/**
 * A request with the plan entries that apply to it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param plan the plan
 * @param route the matching route
 * @param team the team that owns the caller's API key, if any
 * @param service the service that handles the request
 */
record ResolvedRequest(ServingPlan plan, Route route, Optional<TeamSpec> team, ServiceSpec service) {
    /**
     * Looks up a request in the plan.
     *
     * @param current the plan in force, if one is known
     * @param attributes the attributes of the request
     * @param random the source for the weighted choice among the services of a route
     * @return the request with its plan entries
     * @throws RequestRejectedException if there is no plan, or the plan does not allow the request
     */
    static ResolvedRequest resolve(
            final Optional<ServingPlan> current, final RequestAttributes attributes, final RandomGenerator random)
            throws RequestRejectedException {
        final ServingPlan plan = current.orElseThrow(() -> new RequestRejectedException(ErrorKind.ISOLATED, "no plan"));
        final Route route = plan.route(attributes.host(), attributes.path())
                .orElseThrow(() -> new RequestRejectedException(ErrorKind.UNKNOWN_ROUTE, "host " + attributes.host()));
        final Optional<TeamSpec> team = attributes.key().flatMap(plan::teamOf);
        if (team.isEmpty() && plan.requiresKeys() && !route.anonymous()) {
            throw new RequestRejectedException(ErrorKind.UNAUTHENTICATED, "route " + route.name());
        }
        final ServiceSpec service = plan.service(route.service(random.nextDouble()))
                .orElseThrow(() ->
                        new RequestRejectedException(ErrorKind.NO_TARGET, "route " + route.name() + " has no service"));
        return new ResolvedRequest(plan, route, team, service);
    }
}
