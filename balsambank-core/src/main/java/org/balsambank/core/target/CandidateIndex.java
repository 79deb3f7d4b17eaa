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
 * Indexes the targets in service by base model and by service.
 *
 * <p>The index is rebuilt when the catalogue changes. Confined to the decision loop.
 */
final class CandidateIndex {
    private Catalogue indexedCatalogue = Catalogue.EMPTY;
    private Map<BaseModel, List<HashedTarget>> runners = Map.of();
    private Map<ServiceName, List<HashedTarget>> services = Map.of();

    /**
     * Returns the targets for an adapter, ordered by id.
     *
     * @param catalogue the current configuration
     * @param adapter the adapter version
     * @return the targets in service that run the adapter's base model
     */
    List<HashedTarget> forAdapter(final Catalogue catalogue, final AdapterRef adapter) {
        refresh(catalogue);
        final Adapter entry = catalogue.adapters().get(adapter.adapter());
        return entry == null ? List.of() : runners.getOrDefault(entry.baseModel(), List.of());
    }

    /**
     * Returns the targets for a plain service, ordered by id.
     *
     * @param catalogue the current configuration
     * @param service the name of the plain service
     * @return the targets in service that run the service
     */
    List<HashedTarget> forService(final Catalogue catalogue, final ServiceName service) {
        refresh(catalogue);
        return services.getOrDefault(service, List.of());
    }

    private void refresh(final Catalogue catalogue) {
        if (indexedCatalogue == catalogue) {
            return;
        }
        indexedCatalogue = catalogue;
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
