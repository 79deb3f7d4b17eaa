package org.balsambank.core.serving.placement;

import java.util.Map;
import java.util.Set;

import org.balsambank.core.id.BaseModel;

/**
 * What a target reports about itself. The figures lag.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models the base models that it holds
 * @param adapters the adapters that it holds, with their versions
 * @param pending the adapters that are on their way
 * @param sequence the number of orders that it has accepted since its start
 * @param busy whether it carries out an order for a base model
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param tokensUsed the tokens in memory that can't yield
 */
public record TargetStatus(
        Set<BaseModel> models,
        Map<AdapterKey, Long> adapters,
        Set<AdapterKey> pending,
        long sequence,
        boolean busy,
        int running,
        int waiting,
        long tokensUsed) {
    /** Takes copies of the collections. */
    public TargetStatus {
        models = Set.copyOf(models);
        adapters = Map.copyOf(adapters);
        pending = Set.copyOf(pending);
    }
}
