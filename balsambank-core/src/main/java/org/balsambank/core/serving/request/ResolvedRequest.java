package org.balsambank.core.serving.request;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.serving.plan.Route;
import org.balsambank.core.serving.plan.ServiceSpec;
import org.balsambank.core.serving.plan.ServingPlan;
import org.balsambank.core.serving.plan.TeamSpec;

/**
 * What a plan says of a call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param plan the plan
 * @param route the route of the call
 * @param team the team whose key the caller has, if any
 * @param service the service that the call goes to
 */
record ResolvedRequest(ServingPlan plan, Route route, Optional<TeamSpec> team, ServiceSpec service) {
    /**
     * Looks a call up.
     *
     * @param current the plan in force, if one is known
     * @param call what the caller has sent
     * @param random chooses among the services of a route by their weights
     * @return what the plan says
     * @throws RequestRejectedException if there is no plan, or it does not allow the call
     */
    static ResolvedRequest of(
            final Optional<ServingPlan> current, final RequestAttributes call, final RandomGenerator random)
            throws RequestRejectedException {
        final ServingPlan plan = current.orElseThrow(() -> new RequestRejectedException(ErrorKind.ISOLATED, "no plan"));
        final Route route = plan.route(call.host(), call.path())
                .orElseThrow(() -> new RequestRejectedException(ErrorKind.UNKNOWN_ROUTE, "host " + call.host()));
        final Optional<TeamSpec> team = call.key().flatMap(plan::teamOf);
        if (team.isEmpty() && plan.requiresKeys() && !route.anonymous()) {
            throw new RequestRejectedException(ErrorKind.UNAUTHENTICATED, "route " + route.name());
        }
        final ServiceSpec service = plan.service(route.service(random.nextDouble()))
                .orElseThrow(() ->
                        new RequestRejectedException(ErrorKind.NO_TARGET, "route " + route.name() + " has no service"));
        return new ResolvedRequest(plan, route, team, service);
    }
}
