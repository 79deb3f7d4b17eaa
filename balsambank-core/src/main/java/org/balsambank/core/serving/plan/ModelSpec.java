package org.balsambank.core.serving.plan;

import org.balsambank.core.id.BaseModel;

/**
 * A base model that the targets of a service can hold.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param weightsMegabytes the memory that its weights take
 * @param loadMillis how long a load from the weight store takes while nothing else loads
 */
public record ModelSpec(BaseModel model, double weightsMegabytes, long loadMillis) {}
