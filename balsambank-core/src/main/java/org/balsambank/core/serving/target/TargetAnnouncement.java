package org.balsambank.core.serving.target;

import java.util.List;
import java.util.Map;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;

/**
 * What a target has announced about itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the target; one that starts again may keep it
 * @param service the service that it serves
 * @param host its IP number
 * @param port its TCP port
 * @param domain where it stands
 * @param slots the requests that it runs at once
 * @param leaving true if it is about to stop
 * @param coldMillis how much longer it bears little, counted from the announcement
 * @param startedMillis the time of its start, in Unix milliseconds; another value is another start
 * @param models the models that it holds
 * @param adapters the adapters that it holds, with their versions
 */
public record TargetAnnouncement(
        TargetId id,
        ServiceName service,
        String host,
        int port,
        FailureDomain domain,
        int slots,
        boolean leaving,
        long coldMillis,
        long startedMillis,
        List<BaseModel> models,
        Map<AdapterKey, Long> adapters) {
    /** Takes copies of the collections. */
    public TargetAnnouncement {
        models = List.copyOf(models);
        adapters = Map.copyOf(adapters);
    }
}
