package org.balsambank.core.serving.plan;

import org.balsambank.core.id.BaseModel;

/**
 * A base model that the targets of a service can load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param weights the memory that its weights need
 * @param adapterWeights the memory that the weights of each of its adapters need
 * @param loadMillis how long a load from the weight store takes without concurrent loads
 */
public record ModelSpec(BaseModel model, MemorySize weights, MemorySize adapterWeights, long loadMillis) {}
