package org.balsambank.core.catalogue;

import java.util.Optional;

import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;

/**
 * A target in the catalogue.
 *
 * <p>Immutable and thread-safe. A model runner has a base model, an application runner has a service.
 *
 * @param id the id, unique in the catalogue
 * @param kind the kind of program that it runs
 * @param host the IP address
 * @param port the TCP port
 * @param failureDomain the failure domain
 * @param baseModel the base model of a model runner
 * @param service the service of an application runner
 * @param concurrency the number of requests that it runs concurrently once it has reached full speed after a start
 * @param adapterSlots the number of adapters that it holds at the same time
 * @param fencing true if it rejects commands with a stale fencing number
 * @param out true if operators have taken it out of service
 */
public record Target(
        TargetId id,
        TargetKind kind,
        String host,
        int port,
        FailureDomain failureDomain,
        Optional<BaseModel> baseModel,
        Optional<ServiceName> service,
        int concurrency,
        int adapterSlots,
        boolean fencing,
        boolean out) {
    /**
     * Returns a copy with another service state.
     *
     * @param newOut true if operators have taken it out of service
     * @return the copy
     */
    public Target withOut(final boolean newOut) {
        return new Target(
                id, kind, host, port, failureDomain, baseModel, service, concurrency, adapterSlots, fencing, newOut);
    }
}
