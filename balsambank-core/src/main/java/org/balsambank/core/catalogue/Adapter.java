package org.balsambank.core.catalogue;

import java.util.List;
import java.util.Set;

import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.TeamId;

/**
 * An adapter in the catalogue.
 *
 * <p>Immutable and thread-safe. There is at least one version.
 *
 * @param id the id
 * @param versions the versions that requests may name, the current one last
 * @param owner the team that owns it
 * @param callers the teams whose keys may call it, including the owner
 * @param trafficClass the traffic class of its requests
 * @param baseModel the base model that it extends
 * @param open true if requests need no key; such requests are charged to the owner
 */
public record Adapter(
        AdapterId id,
        List<AdapterVersion> versions,
        TeamId owner,
        Set<TeamId> callers,
        TrafficClass trafficClass,
        BaseModel baseModel,
        boolean open) {
    /** Copies the collections. */
    public Adapter {
        versions = List.copyOf(versions);
        callers = Set.copyOf(callers);
    }

    /**
     * Returns the version used for requests that name no version.
     *
     * @return the current version
     */
    public AdapterRef current() {
        return new AdapterRef(id, versions.get(versions.size() - 1));
    }
}
