package org.balsambank.core.serving.plan;

import org.balsambank.core.id.BaseModel;

/**
 * A base model that the targets of a service can load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param weightsMegabytes the memory that its weights need
 * @param loadMillis how long a load from the weight store takes without concurrent loads
 */
public record ModelSpec(BaseModel model, double weightsMegabytes, long loadMillis) {}
