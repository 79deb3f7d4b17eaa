package org.balsambank.core.serving.placement;

import java.util.Map;
import java.util.Set;

import org.balsambank.core.id.BaseModel;

/**
 * The status that a target reports about itself. It lags behind the actual state.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models the loaded base models
 * @param adapters the loaded adapters and their versions
 * @param pending the adapters being loaded
 * @param sequence the number of orders that it has accepted since its start
 * @param busy whether it is executing an order for a base model
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param tokensUsed the tokens in memory that cannot be evicted
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
    /** Copies the collections. */
    public TargetStatus {
        models = Set.copyOf(models);
        adapters = Map.copyOf(adapters);
        pending = Set.copyOf(pending);
    }
}
