package org.balsambank.core.serving.choice;

import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.ServiceName;

/**
 * The models of the engines of all services.
 *
 * <p>Confined to the decision loop.
 */
public final class EngineModels {
    private final Map<ServiceName, EngineModel> models = new HashMap<>();

    /** Creates models that have learned nothing. */
    public EngineModels() {}

    /**
     * Returns the model of the engines of a service.
     *
     * @param service the service
     * @return the model
     */
    public EngineModel of(final ServiceName service) {
        return models.computeIfAbsent(service, ignored -> new EngineModel());
    }
}
