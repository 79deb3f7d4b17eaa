package org.balsambank.daemon;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueSource;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.id.PartitionId;
import org.balsambank.core.invariant.InvariantMonitor;
import org.balsambank.core.partition.Ownership;
import org.balsambank.core.partition.Ownership.SubjectKind;
import org.balsambank.core.port.VmEntry;
import org.balsambank.daemon.settings.Settings;

/**
 * Renders the state of the fleet as seen by this VM.
 *
 * <p>Confined to the decision loop.
 */
final class StatusPage {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Settings settings;
    private final CatalogueSource catalogues;
    private final Ownership ownership;
    private final InvariantMonitor invariants;

    /**
     * Creates the page.
     *
     * @param settings the settings of this VM
     * @param catalogues the source of the catalogue in force
     * @param ownership the owners of the partitions
     * @param invariants the violated invariants
     */
    StatusPage(
            final Settings settings,
            final CatalogueSource catalogues,
            final Ownership ownership,
            final InvariantMonitor invariants) {
        this.settings = Objects.requireNonNull(settings);
        this.catalogues = Objects.requireNonNull(catalogues);
        this.ownership = Objects.requireNonNull(ownership);
        this.invariants = Objects.requireNonNull(invariants);
    }

    /**
     * Renders the page.
     *
     * @param ready whether this VM is ready for requests
     * @param vms the last known VMs
     * @return the page as JSON
     */
    String render(final boolean ready, final List<VmEntry> vms) {
        final Catalogue catalogue = catalogues.current();
        final ObjectNode status = MAPPER.createObjectNode();
        status.put("vm", settings.vm().value());
        status.put("failureDomain", settings.failureDomain().value());
        status.put("ready", ready);
        status.put("catalogueRevision", catalogue.revision().value());
        final ArrayNode partitions = status.putArray("partitions");
        ownership.held().stream().sorted().map(PartitionId::value).forEach(partitions::add);
        final ArrayNode targets = status.putArray("targets");
        catalogue.targets().values().stream()
                .sorted(java.util.Comparator.comparing(Target::id))
                .forEach(target -> describe(targets.addObject(), target, catalogue));
        final ArrayNode vmList = status.putArray("vms");
        vms.forEach(vm -> vmList.addObject()
                .put("id", vm.id().value())
                .put("failureDomain", vm.failureDomain().value())
                .put("out", catalogue.vmsOut().contains(vm.id())));
        final ArrayNode broken = status.putArray("brokenInvariants");
        invariants.violations().forEach(broken::add);
        return status.toString();
    }

    private void describe(final ObjectNode json, final Target target, final Catalogue catalogue) {
        final PartitionId partition =
                ownership.partitionOf(SubjectKind.TARGET, target.id().value());
        json.put("id", target.id().value())
                .put("failureDomain", target.failureDomain().value())
                .put("inService", catalogue.inService(target))
                .put("owner", ownership.ownerOf(partition).map(Object::toString).orElse(null));
    }
}
