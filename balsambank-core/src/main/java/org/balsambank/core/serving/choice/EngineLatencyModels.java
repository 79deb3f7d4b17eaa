package org.balsambank.core.serving.choice;

import java.util.HashMap;
import java.util.Map;

import org.balsambank.core.id.ServiceName;

/**
 * The latency models of all services.
 *
 * <p>Confined to the decision loop.
 */
public final class EngineLatencyModels {
    private final Map<ServiceName, EngineLatencyModel> models = new HashMap<>();

    /** Creates an instance without models. */
    public EngineLatencyModels() {}

    /**
     * Returns the latency model of a service; creates it on first use.
     *
     * @param service the service
     * @return the model
     */
    public EngineLatencyModel of(final ServiceName service) {
        return models.computeIfAbsent(service, ignored -> new EngineLatencyModel());
    }
}
