package org.balsambank.core.serving.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.target.TargetAnnouncement;

/**
 * The adapters and base models resident at each target, as reported by the controlling VM, otherwise as announced by
 * the target.
 *
 * <p>Invariants: a report with a lower fencing number never replaces one with a higher number; the latest version of an
 * adapter never decreases. Confined to the decision loop.
 */
public final class ResidencyTable {
    private final Map<TargetId, TargetResidency> reports = new HashMap<>();
    private final Map<AdapterKey, Long> latestVersion = new HashMap<>();
    private final Map<TargetId, Map<AdapterKey, Boolean>> recentAdapters = new HashMap<>();

    /** Creates an instance without reports. */
    public ResidencyTable() {}

    /**
     * Records a report of the VM that controls a target.
     *
     * @param target the target
     * @param report the report
     * @return true if it supersedes the known report
     */
    public boolean recordReport(final TargetId target, final TargetResidency report) {
        final TargetResidency known = reports.get(target);
        if (known != null && !report.supersedes(known)) {
            return false;
        }
        reports.put(target, report);
        final Map<AdapterKey, Boolean> recent = recentAdapters.computeIfAbsent(target, ignored -> new RecentAdapters());
        report.adapters().keySet().forEach(each -> recent.put(each, true));
        report.pending().forEach(each -> recent.put(each, true));
        return true;
    }

    /**
     * Returns the targets for which a report is known.
     *
     * @return the targets
     */
    public Set<TargetId> reportedTargets() {
        return Set.copyOf(reports.keySet());
    }

    /**
     * Returns the report of the VM that controls a target.
     *
     * @param target the target
     * @return the report, if one was received since the target started
     */
    public Optional<TargetResidency> findReport(final TargetId target) {
        return Optional.ofNullable(reports.get(target)).filter(known -> known.fence() > 0);
    }

    /**
     * Returns whether an adapter was resident at a target recently, so that the target still has a local copy.
     *
     * @param target the target
     * @param adapter the adapter
     * @return true if loading it takes little time
     */
    public boolean recentlyResident(final TargetId target, final AdapterKey adapter) {
        final Map<AdapterKey, Boolean> recent = recentAdapters.get(target);
        return recent != null && recent.containsKey(adapter);
    }

    /**
     * Records that a target has responded that an adapter is not resident.
     *
     * @param announcement the announcement of the target
     * @param adapter the adapter
     */
    public void recordMissing(final TargetAnnouncement announcement, final AdapterKey adapter) {
        final TargetResidency known = of(announcement);
        final Map<AdapterKey, Long> remaining = new HashMap<>(known.adapters());
        remaining.remove(adapter);
        reports.put(
                announcement.id(),
                new TargetResidency(
                        known.fence(), known.number(), remaining, known.pending(), known.models(), known.responsive()));
    }

    /**
     * Discards the reports for a target that has restarted or is gone.
     *
     * @param target the target
     */
    public void remove(final TargetId target) {
        reports.remove(target);
        recentAdapters.remove(target);
    }

    /**
     * Returns what is resident at a target.
     *
     * @param announcement the announcement of the target
     * @return the latest report, or the content of the announcement
     */
    public TargetResidency of(final TargetAnnouncement announcement) {
        final TargetResidency known = reports.get(announcement.id());
        return known == null ? fromAnnouncement(announcement) : known;
    }

    /**
     * Returns whether a base model is loaded at a target.
     *
     * @param announcement the announcement of the target
     * @param model the model
     * @return true according to the latest report, or to the announcement if none names base models
     */
    public boolean hasModel(final TargetAnnouncement announcement, final BaseModel model) {
        return models(announcement).contains(model);
    }

    /**
     * Returns the base models that are loaded at a target.
     *
     * @param announcement the announcement of the target
     * @return the models according to the latest report, or to the announcement if none names base models
     */
    public Collection<BaseModel> models(final TargetAnnouncement announcement) {
        final TargetResidency known = reports.get(announcement.id());
        return known != null && !known.models().isEmpty() ? known.models() : announcement.models();
    }

    /**
     * Records an announced version.
     *
     * @param adapter the adapter
     * @param version the version
     */
    public void recordVersion(final AdapterKey adapter, final long version) {
        latestVersion.merge(adapter, version, Math::max);
    }

    /**
     * Returns the latest announced version.
     *
     * @param adapter the adapter
     * @return the version, or 0 if none was announced
     */
    public long latestVersion(final AdapterKey adapter) {
        return latestVersion.getOrDefault(adapter, 0L);
    }

    /**
     * Returns the version of an adapter that a request must find at a target.
     *
     * @param announcement the announcement of the target
     * @param adapter the adapter
     * @param loaded the version that was loaded for the request, if one was
     * @return the version, empty if none was announced for the adapter or if it is not known to be resident
     */
    public OptionalLong expectedVersion(
            final TargetAnnouncement announcement, final AdapterKey adapter, final OptionalLong loaded) {
        if (latestVersion(adapter) == 0) {
            return OptionalLong.empty();
        }
        return loaded.isPresent() ? loaded : of(announcement).version(adapter);
    }

    private static TargetResidency fromAnnouncement(final TargetAnnouncement announcement) {
        return new TargetResidency(0, 0, announcement.adapters(), Set.of(), Set.copyOf(announcement.models()), true);
    }

    /**
     * The adapters that were recently resident at a target, in order of their latest report; the eldest is removed when
     * the map is full.
     */
    private static final class RecentAdapters extends LinkedHashMap<AdapterKey, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int MAX_ADAPTERS = 36;
        private static final float LOAD_FACTOR = 0.75f;

        RecentAdapters() {
            super(2 * MAX_ADAPTERS, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(final Map.Entry<AdapterKey, Boolean> eldest) {
            return size() > MAX_ADAPTERS;
        }
    }
}
