package org.balsambank.core.target;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.AdapterRef;
import org.balsambank.core.id.ServiceName;

/**
 * Selects the targets for a request on the entry VM.
 *
 * <p>Confined to the decision loop.
 */
public interface TargetSelector {
    /**
     * Returns the targets to try for an adapter version, in order of preference. Only targets in service are returned.
     *
     * @param catalogue the current configuration
     * @param adapter the adapter version
     * @param prefixHash the hash of the prompt prefix
     * @return the targets; empty if none is in service
     */
    List<Target> forAdapter(Catalogue catalogue, AdapterRef adapter, long prefixHash);

    /**
     * Returns the targets to try for a plain service, in order of preference. Only targets in service are returned.
     *
     * @param catalogue the current configuration
     * @param service the plain service to call
     * @return the targets; empty if none is in service
     */
    List<Target> forService(Catalogue catalogue, ServiceName service);

    /**
     * Records the load of a target that its owner reported with an attempt, or the end of an attempt.
     *
     * @param target the target of the attempt
     * @param adapter the adapter version; empty for a plain service
     * @param loadHint the number of running or queued requests divided by the target's permit limit, if the owner
     *     reported it; empty when the attempt ends
     */
    void observe(Target target, Optional<AdapterRef> adapter, Optional<Double> loadHint);
}
