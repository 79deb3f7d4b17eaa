package org.balsambank.core.serving.placement;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.balsambank.core.id.BaseModel;

/**
 * The adapters and base models resident at a target, as reported by the VM that controls it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fence the fencing number of the controlling VM; a higher one supersedes reports with a lower one
 * @param number the sequence number of the report; increases with each change that this VM reports
 * @param adapters the loaded adapters and their versions
 * @param pending the adapters that are requested or being loaded
 * @param models the loaded base models, empty if not reported
 * @param responsive false while the target does not respond to the controlling VM
 */
public record TargetResidency(
        long fence,
        long number,
        Map<AdapterKey, Long> adapters,
        Set<AdapterKey> pending,
        Set<BaseModel> models,
        boolean responsive) {
    /** Copies the collections. */
    public TargetResidency {
        adapters = Map.copyOf(adapters);
        pending = Set.copyOf(pending);
        models = Set.copyOf(models);
    }

    /**
     * Returns whether this report supersedes another one.
     *
     * @param other the other report
     * @return true if it has a higher fencing number, or the same one and a higher number
     */
    boolean supersedes(final TargetResidency other) {
        return fence > other.fence || fence == other.fence && number > other.number;
    }

    /**
     * Returns whether the content equals that of another report.
     *
     * @param other the other report
     * @return true if nothing but the number differs
     */
    boolean sameContent(final TargetResidency other) {
        return fence == other.fence
                && responsive == other.responsive
                && adapters.equals(other.adapters)
                && pending.equals(other.pending)
                && models.equals(other.models);
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
