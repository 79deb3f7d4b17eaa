package org.balsambank.core.serving.plan;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.id.BaseModel;

/**
 * The capacity of the targets of a service that runs models.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the requests that run concurrently
 * @param tokenCapacity the tokens that fit into memory, 0 if unknown
 * @param adapterSlots the adapters that can be resident at once
 * @param weightsMemory the memory for the weights of models and adapters together, zero if unknown
 * @param loadsPerSecond the base model loads per second that the weight store supports over all targets
 * @param models the base models
 */
public record EngineSpec(
        int slots,
        long tokenCapacity,
        int adapterSlots,
        MemorySize weightsMemory,
        double loadsPerSecond,
        List<ModelSpec> models) {
    /** Copies the models. */
    public EngineSpec {
        models = List.copyOf(models);
    }

    /**
     * Finds a model.
     *
     * @param model the model
     * @return its description, if the service has it
     */
    public Optional<ModelSpec> model(final BaseModel model) {
        for (final ModelSpec each : models) {
            if (each.model().equals(model)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }
}
