package org.balsambank.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.ServiceName;

/**
 * Finds the targets in service that can run a request.
 *
 * <p>Keeps the result for the last catalogue seen. Confined to the decision loop.
 */
final class CandidateIndex {
    private Catalogue seen = Catalogue.EMPTY;
    private Map<BaseModel, List<HashedTarget>> runners = Map.of();
    private Map<ServiceName, List<HashedTarget>> services = Map.of();

    /**
     * Returns the targets for an adapter, in the order of their ids.
     *
     * @param catalogue the configuration in force
     * @param adapter the version
     * @return the targets in service that run the adapter's base model
     */
    List<HashedTarget> forAdapter(final Catalogue catalogue, final AdapterRef adapter) {
        refresh(catalogue);
        final Adapter entry = catalogue.adapters().get(adapter.adapter());
        return entry == null ? List.of() : runners.getOrDefault(entry.baseModel(), List.of());
    }

    /**
     * Returns the targets for a plain service, in the order of their ids.
     *
     * @param catalogue the configuration in force
     * @param service the service
     * @return the targets in service that run the service
     */
    List<HashedTarget> forService(final Catalogue catalogue, final ServiceName service) {
        refresh(catalogue);
        return services.getOrDefault(service, List.of());
    }

    private void refresh(final Catalogue catalogue) {
        if (seen == catalogue) {
            return;
        }
        seen = catalogue;
        runners = new HashMap<>();
        services = new HashMap<>();
        catalogue.targets().values().stream()
                .filter(catalogue::inService)
                .sorted(Comparator.comparing(Target::id))
                .forEach(this::add);
    }

    private void add(final Target target) {
        final HashedTarget hashed = HashedTarget.of(target);
        target.baseModel().ifPresent(model -> runners.computeIfAbsent(model, key -> new ArrayList<>())
                .add(hashed));
        target.service().ifPresent(service -> services.computeIfAbsent(service, key -> new ArrayList<>())
                .add(hashed));
    }
}
