package org.balsambank.core.serving.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.request.RetryBudget;
import org.balsambank.core.serving.admission.FleetView;

/**
 * The retries that this VM may send to each service.
 *
 * <p>Each VM earns a share of its own requests and has an equal part of the reserve of the fleet. Confined to the
 * decision loop.
 */
public final class ServiceRetryBudgets {
    private static final double MARGIN = 0.8;

    private final double share;
    private final double reserve;
    private final FleetView fleet;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates full budgets.
     *
     * @param share the retries that the fleet may send for each request
     * @param reserve the retries that the fleet may send besides
     * @param fleet tells how many VMs share them
     */
    public ServiceRetryBudgets(final double share, final double reserve, final FleetView fleet) {
        this.share = share;
        this.reserve = reserve;
        this.fleet = Objects.requireNonNull(fleet);
    }

    /**
     * Notes a request.
     *
     * @param service its service
     */
    public void request(final ServiceName service) {
        budget(service).recordRequest();
    }

    /**
     * Takes one retry.
     *
     * @param service the service
     * @return false if the budget is used up
     */
    public boolean take(final ServiceName service) {
        return budget(service).tryAcquire();
    }

    private RetryBudget budget(final ServiceName service) {
        return budgets.computeIfAbsent(
                service, ignored -> new RetryBudget(share * MARGIN, reserve * MARGIN / Math.max(1, fleet.vms())));
    }
}
