package org.balsambank.core.serving.choice;

import java.util.Optional;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.ServiceSpec;

/**
 * What a request requires of a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service
 * @param model the base model, if the request names one
 * @param adapter the adapter, if the request names one
 * @param promptTokens the tokens to process before the first chunk
 * @param outputTokens the maximum tokens to generate
 * @param objectiveMillis the objective for the time to the first chunk, 0 if there is none
 * @param pauseMillis the objective for the longest pause of a stream, 0 if there is none
 */
public record TargetRequirements(
        ServiceSpec service,
        Optional<BaseModel> model,
        Optional<AdapterKey> adapter,
        long promptTokens,
        long outputTokens,
        long objectiveMillis,
        long pauseMillis) {}
