package org.balsambank.core.catalogue;

import java.util.Map;
import java.util.Set;

import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;

/**
 * One revision of the operators' configuration.
 *
 * <p>Immutable and thread-safe. All references between entries resolve.
 *
 * @param revision the revision
 * @param teams the teams
 * @param adapters the adapters
 * @param targets the targets
 * @param services the plain services
 * @param domainsOut the failure domains that operators have taken out
 * @param vmsOut the VMs that operators have taken out
 */
public record Catalogue(
        Revision revision,
        Map<TeamId, Team> teams,
        Map<AdapterId, Adapter> adapters,
        Map<TargetId, Target> targets,
        Map<ServiceName, PlainService> services,
        Set<FailureDomain> domainsOut,
        Set<VmId> vmsOut) {
    /** The catalogue before the first configuration is applied. */
    public static final Catalogue EMPTY =
            new Catalogue(new Revision(0), Map.of(), Map.of(), Map.of(), Map.of(), Set.of(), Set.of());

    /** Copies the collections. */
    public Catalogue {
        teams = Map.copyOf(teams);
        adapters = Map.copyOf(adapters);
        targets = Map.copyOf(targets);
        services = Map.copyOf(services);
        domainsOut = Set.copyOf(domainsOut);
        vmsOut = Set.copyOf(vmsOut);
    }

    /**
     * Returns whether a target may receive new requests.
     *
     * @param target the target
     * @return true if neither the target nor its failure domain is out
     */
    public boolean inService(final Target target) {
        return !target.out() && !domainsOut.contains(target.failureDomain());
    }
}
