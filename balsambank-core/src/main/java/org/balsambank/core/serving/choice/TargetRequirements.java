package org.balsambank.core.serving.choice;

import java.util.Optional;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.serving.placement.AdapterKey;
import org.balsambank.core.serving.plan.ServiceSpec;

/**
 * What a request needs of a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service
 * @param model the base model, if the request names one
 * @param adapter the adapter, if the request names one
 * @param promptTokens the tokens to read before the first piece
 * @param outputTokens the most tokens to write
 * @param objectiveMillis the time within which the first piece is in time, 0 if there is none
 * @param pauseMillis the longest pause within which a stream is in time, 0 if there is none
 */
public record TargetRequirements(
        ServiceSpec service,
        Optional<BaseModel> model,
        Optional<AdapterKey> adapter,
        long promptTokens,
        long outputTokens,
        long objectiveMillis,
        long pauseMillis) {}
