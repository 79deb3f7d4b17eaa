package org.balsambank.core.serving.placement;

import java.util.Collection;
import java.util.Objects;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.serving.plan.EngineSpec;
import org.balsambank.core.serving.plan.MemorySize;
import org.balsambank.core.serving.plan.ModelSpec;

/**
 * Adds up what base models and adapters take of one target, and tells what else fits: by adapter slots and by the
 * memory that their weights share. A target that is ordered to load more crashes.
 *
 * <p>Invariant: an adapter that is being replaced or unloaded takes its slot and its memory until it is gone, so each
 * version is added. Models that the plan does not name take nothing that is known. Confined to the decision loop.
 */
public final class TargetOccupancy {
    private final EngineSpec spec;
    private int slots;
    private MemorySize memory = MemorySize.ZERO;

    /**
     * Creates an occupancy without adapters.
     *
     * @param spec the capacity of the target
     * @param models the base models that it holds
     */
    public TargetOccupancy(final EngineSpec spec, final Collection<BaseModel> models) {
        this.spec = Objects.requireNonNull(spec);
        for (final BaseModel model : models) {
            memory = memory.plus(weights(model));
        }
    }

    /**
     * Adds an adapter.
     *
     * @param adapter the adapter
     */
    public void add(final AdapterKey adapter) {
        slots++;
        memory = memory.plus(adapterWeights(adapter));
    }

    /**
     * Returns whether an adapter fits beside what was added.
     *
     * @param adapter the adapter, of a base model that the target holds
     * @return true if the target has a slot and the memory for it
     */
    public boolean fits(final AdapterKey adapter) {
        return slots < spec.adapterSlots() && hasMemory(adapterWeights(adapter));
    }

    /**
     * Returns whether a base model fits beside what was added.
     *
     * @param model the model
     * @return true if the target has the memory for its weights
     */
    public boolean fits(final BaseModel model) {
        return hasMemory(weights(model));
    }

    /**
     * Returns the memory that is taken.
     *
     * @return the memory of all weights
     */
    public MemorySize memory() {
        return memory;
    }

    private boolean hasMemory(final MemorySize more) {
        final boolean unknown = spec.weightsMemory().equals(MemorySize.ZERO);
        return unknown || memory.plus(more).compareTo(spec.weightsMemory()) <= 0;
    }

    private MemorySize weights(final BaseModel model) {
        return spec.model(model).map(ModelSpec::weights).orElse(MemorySize.ZERO);
    }

    private MemorySize adapterWeights(final AdapterKey adapter) {
        return spec.model(adapter.model()).map(ModelSpec::adapterWeights).orElse(MemorySize.ZERO);
    }
}
