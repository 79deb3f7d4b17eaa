package org.balsambank.core.serving.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * What each target holds: the word of the VM that gives it orders, else its own announcement.
 *
 * <p>Invariants: what a lower fencing number told never replaces what a higher one told; versions that are announced
 * only rise. Confined to the decision loop.
 */
public final class ResidencyTable {
    private final Map<TargetId, TargetResidency> held = new HashMap<>();
    private final Map<AdapterKey, Long> newest = new HashMap<>();
    private final Map<TargetId, Map<AdapterKey, Boolean>> recent = new HashMap<>();

    /** Creates an empty book. */
    public ResidencyTable() {}

    /**
     * The VM that gives orders to a target tells what it holds.
     *
     * @param target the target
     * @param adapters what it holds
     * @return true if that is newer than what was known
     */
    public boolean told(final TargetId target, final TargetResidency adapters) {
        final TargetResidency known = held.get(target);
        if (known != null && !adapters.newerThan(known)) {
            return false;
        }
        held.put(target, adapters);
        final Map<AdapterKey, Boolean> seen = recent.computeIfAbsent(target, ignored -> new RecentAdapters());
        adapters.adapters().keySet().forEach(each -> seen.put(each, true));
        adapters.pending().forEach(each -> seen.put(each, true));
        return true;
    }

    /**
     * Returns the targets of which a VM that gives orders has told.
     *
     * @return the targets
     */
    public Set<TargetId> targets() {
        return Set.copyOf(held.keySet());
    }

    /**
     * Returns what a VM that gives orders has told.
     *
     * @param target the target
     * @return what it holds, if something was told since its start
     */
    public Optional<TargetResidency> find(final TargetId target) {
        return Optional.ofNullable(held.get(target)).filter(known -> known.fence() > 0);
    }

    /**
     * Tells whether a target has held an adapter lately, so that it still has a copy at hand.
     *
     * @param target the target
     * @param adapter the adapter
     * @return true if a load is short
     */
    public boolean heldLately(final TargetId target, final AdapterKey adapter) {
        final Map<AdapterKey, Boolean> seen = recent.get(target);
        return seen != null && seen.containsKey(adapter);
    }

    /**
     * A target has just said that it does not hold an adapter.
     *
     * @param entry the announcement of the target
     * @param adapter the adapter
     */
    public void missing(final TargetAnnouncement entry, final AdapterKey adapter) {
        final TargetResidency known = of(entry);
        final Map<AdapterKey, Long> rest = new HashMap<>(known.adapters());
        rest.remove(adapter);
        held.put(entry.id(), new TargetResidency(known.fence(), known.number(), rest, known.pending(), known.models()));
    }

    /**
     * Forgets a target that has started again or is gone.
     *
     * @param target the target
     */
    public void forget(final TargetId target) {
        held.remove(target);
        recent.remove(target);
    }

    /**
     * Returns what a target holds.
     *
     * @param entry the announcement of the target
     * @return what it holds
     */
    public TargetResidency of(final TargetAnnouncement entry) {
        final TargetResidency known = held.get(entry.id());
        return known == null ? announced(entry) : known;
    }

    /**
     * Tells whether a target holds a base model.
     *
     * @param entry the announcement of the target
     * @param model the model
     * @return true if so
     */
    public boolean holdsModel(final TargetAnnouncement entry, final BaseModel model) {
        final TargetResidency known = held.get(entry.id());
        if (known != null && !known.models().isEmpty()) {
            return known.models().contains(model);
        }
        return entry.models().contains(model);
    }

    /**
     * Notes a version that was announced.
     *
     * @param adapter the adapter
     * @param version the version
     */
    public void announced(final AdapterKey adapter, final long version) {
        newest.merge(adapter, version, Math::max);
    }

    /**
     * Returns the newest version that was announced.
     *
     * @param adapter the adapter
     * @return the version, or 0 if none was announced
     */
    public long newest(final AdapterKey adapter) {
        return newest.getOrDefault(adapter, 0L);
    }

    private static TargetResidency announced(final TargetAnnouncement entry) {
        return new TargetResidency(0, 0, entry.adapters(), Set.of(), Set.copyOf(entry.models()));
    }

    /** The adapters that a target has held, the one told last at the end; the eldest makes way. */
    private static final class RecentAdapters extends LinkedHashMap<AdapterKey, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int MAX_COPIES = 36;
        private static final float LOAD_FACTOR = 0.75f;

        RecentAdapters() {
            super(2 * MAX_COPIES, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(final Map.Entry<AdapterKey, Boolean> eldest) {
            return size() > MAX_COPIES;
        }
    }
}
