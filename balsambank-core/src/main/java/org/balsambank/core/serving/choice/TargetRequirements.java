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
 * @param service the service that the target must offer
 * @param model the base model, if the request names one
 * @param adapter the adapter, if the request names one
 * @param promptTokens the tokens to process before the first chunk
 * @param outputTokens the maximum tokens to generate
 * @param remainingFirstChunkMillis the time left to meet the objective for the first chunk, 0 if there is no objective
 * @param maxEventGapMillis the objective for the longest gap between events of a stream, 0 if there is none
 */
public record TargetRequirements(
        ServiceSpec service,
        Optional<BaseModel> model,
        Optional<AdapterKey> adapter,
        long promptTokens,
        long outputTokens,
        long remainingFirstChunkMillis,
        long maxEventGapMillis) {}
