package org.balsambank.core.serving.choice;

import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.ServiceName;

/**
 * The models of the engines of all services.
 *
 * <p>Confined to the decision loop.
 */
public final class EngineLatencyModels {
    private final Map<ServiceName, EngineLatencyModel> models = new HashMap<>();

    /** Creates models that have learned nothing. */
    public EngineLatencyModels() {}

    /**
     * Returns the model of the engines of a service.
     *
     * @param service the service
     * @return the model
     */
    public EngineLatencyModel of(final ServiceName service) {
        return models.computeIfAbsent(service, ignored -> new EngineLatencyModel());
    }
}
