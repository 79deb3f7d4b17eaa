package org.balsambank.core.serving.plan;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.id.BaseModel;

/**
 * What the targets of a service that run models can bear.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the requests that run at once
 * @param tokenCapacity the tokens that fit in memory, 0 if unknown
 * @param adapterSlots the adapters that fit
 * @param weightsMegabytes the memory for weights
 * @param loadsPerSecond the loads of base models that the weight store bears over all targets
 * @param models the models
 */
public record EngineSpec(
        int slots,
        long tokenCapacity,
        int adapterSlots,
        double weightsMegabytes,
        double loadsPerSecond,
        List<ModelSpec> models) {
    /** Takes a copy of the models. */
    public EngineSpec {
        models = List.copyOf(models);
    }

    /**
     * Finds a model.
     *
     * @param model the model
     * @return its sizes, if the service has it
     */
    public Optional<ModelSpec> model(final BaseModel model) {
        return models.stream().filter(each -> each.model().equals(model)).findFirst();
    }
}
