package org.balsambank.core.serving.target;

import java.util.List;
import java.util.Map;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.serving.placement.AdapterKey;

/**
 * The announcement that a target writes about itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the target; it may keep its id after a restart
 * @param service the service that it serves
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots the requests that it runs concurrently
 * @param draining true if it is shutting down
 * @param coldMillis how long it remains cold, counted from the announcement
 * @param startedMillis its start time, in Unix milliseconds; a different value means that it has restarted
 * @param models the loaded base models
 * @param adapters the loaded adapters and their versions
 */
public record TargetAnnouncement(
        TargetId id,
        ServiceName service,
        String host,
        int port,
        FailureDomain domain,
        int slots,
        boolean draining,
        long coldMillis,
        long startedMillis,
        List<BaseModel> models,
        Map<AdapterKey, Long> adapters) {
    /** Copies the collections. */
    public TargetAnnouncement {
        models = List.copyOf(models);
        adapters = Map.copyOf(adapters);
    }
}
