package org.balsambank.core.serving.placement;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.balsambank.core.id.BaseModel;

/**
 * What a target holds, as told by the VM that gives it orders.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fence the fencing number of that VM; a higher one replaces what a lower one told
 * @param adapters the versions that are loaded
 * @param pending the adapters that are on their way
 * @param models the base models, empty if not told
 */
public record HeldAdapters(long fence, Map<AdapterKey, Long> adapters, Set<AdapterKey> pending, Set<BaseModel> models) {
    /** Takes copies of the collections. */
    public HeldAdapters {
        adapters = Map.copyOf(adapters);
        pending = Set.copyOf(pending);
        models = Set.copyOf(models);
    }

    /**
     * Finds the loaded version of an adapter.
     *
     * @param adapter the adapter
     * @return the version, if it is loaded
     */
    public OptionalLong version(final AdapterKey adapter) {
        final Long version = adapters.get(adapter);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }
}
