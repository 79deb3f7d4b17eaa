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
 * @param number rises with each change that this VM tells
 * @param adapters the versions that are loaded
 * @param pending the adapters that are on their way
 * @param models the base models, empty if not told
 */
public record TargetResidency(
        long fence, long number, Map<AdapterKey, Long> adapters, Set<AdapterKey> pending, Set<BaseModel> models) {
    /** Takes copies of the collections. */
    public TargetResidency {
        adapters = Map.copyOf(adapters);
        pending = Set.copyOf(pending);
        models = Set.copyOf(models);
    }

    /**
     * Tells whether this was told after something else.
     *
     * @param known what is known
     * @return true if it has a higher fencing number, or the same one and a higher number
     */
    boolean newerThan(final TargetResidency known) {
        return fence > known.fence || fence == known.fence && number > known.number;
    }

    /**
     * Tells whether the target holds the same.
     *
     * @param known what is known
     * @return true unless something but the number differs
     */
    boolean sameContent(final TargetResidency known) {
        return fence == known.fence
                && adapters.equals(known.adapters)
                && pending.equals(known.pending)
                && models.equals(known.models);
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
