package org.balsambank.core.serving.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.balsambank.core.id.ServiceName;
import org.balsambank.core.request.RetryBudget;
import org.balsambank.core.serving.admission.FleetView;

/**
 * The retry budgets of this VM, one per service.
 *
 * <p>Each VM may retry a fixed share of its own requests, plus an equal part of the fleet's reserve. Confined to the
 * decision loop.
 */
public final class ServiceRetryBudgets {
    private static final double SAFETY_FACTOR = 0.8;

    private final double share;
    private final double reserve;
    private final FleetView fleet;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates full budgets.
     *
     * @param share the retries that the fleet may send per request
     * @param reserve the retries that the fleet may send in addition, regardless of the number of requests
     * @param fleet the number of VMs that share the reserve
     */
    public ServiceRetryBudgets(final double share, final double reserve, final FleetView fleet) {
        this.share = share;
        this.reserve = reserve;
        this.fleet = Objects.requireNonNull(fleet);
    }

    /**
     * Records a request, which adds to the budget.
     *
     * @param service the service of the request
     */
    public void recordRequest(final ServiceName service) {
        budget(service).recordRequest();
    }

    /**
     * Takes one retry from the budget.
     *
     * @param service the service
     * @return false if the budget is exhausted
     */
    public boolean tryTake(final ServiceName service) {
        return budget(service).tryAcquire();
    }

    private RetryBudget budget(final ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                ignored -> new RetryBudget(share * SAFETY_FACTOR, reserve * SAFETY_FACTOR / Math.max(1, fleet.vms())));
    }
}
