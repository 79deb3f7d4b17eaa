package org.balsambank.core.catalogue.store;

import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.KeyHash;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TeamId;
import org.balsambank.protocol.generated.catalogue.AdapterEntry;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;
import org.balsambank.protocol.generated.catalogue.KeyEntry;
import org.balsambank.protocol.generated.catalogue.RouteEntry;
import org.balsambank.protocol.generated.catalogue.ServiceEntry;
import org.balsambank.protocol.generated.catalogue.TargetEntry;
import org.balsambank.protocol.generated.catalogue.TeamEntry;

/**
 * Encodes a catalogue as entries.
 *
 * <p>Stateless and thread-safe. Equal catalogues are encoded to equal entries. The entries have no revision.
 */
final class EntryEncoder {
    private EntryEncoder() {}

    /**
     * Encodes a catalogue.
     *
     * @param catalogue the catalogue
     * @return the entries by key
     */
    static SortedMap<EntryKey, CatalogueEntry> encode(final Catalogue catalogue) {
        final SortedMap<EntryKey, CatalogueEntry> entries = new TreeMap<>();
        catalogue.teams().values().forEach(team -> put(entries, entry().setTeam(team(team))));
        catalogue.adapters().values().forEach(adapter -> put(entries, entry().setAdapter(adapter(adapter))));
        catalogue.targets().values().forEach(target -> put(entries, entry().setTarget(target(target))));
        catalogue.services().values().forEach(service -> put(entries, entry().setService(service(service))));
        catalogue.domainsOut().forEach(domain -> put(entries, entry().setDomainOut(domain.value())));
        catalogue.vmsOut().forEach(vm -> put(entries, entry().setVmOut(vm.value())));
        return entries;
    }

    private static CatalogueEntry.Builder entry() {
        return CatalogueEntry.newBuilder();
    }

    private static void put(final SortedMap<EntryKey, CatalogueEntry> entries, final CatalogueEntry.Builder builder) {
        final CatalogueEntry entry = builder.build();
        entries.put(EntryKey.of(entry), entry);
    }

    private static TeamEntry team(final Team team) {
        final List<KeyEntry> keys = team.keys().stream()
                .sorted(Comparator.comparing(KeyHash::name))
                .map(EntryEncoder::key)
                .toList();
        return TeamEntry.newBuilder()
                .setId(team.id().value())
                .setUnit(team.limit().unit().name())
                .setPerSecond(team.limit().perSecond())
                .setBurst(team.limit().burst())
                .setWeight(team.weight())
                .addAllKeys(keys)
                .build();
    }

    private static KeyEntry key(final KeyHash key) {
        return KeyEntry.newBuilder()
                .setName(key.name())
                .setSalt(bytes(key.salt()))
                .setHash(bytes(key.hash()))
                .build();
    }

    private static ByteString bytes(final String hex) {
        return ByteString.copyFrom(HexFormat.of().parseHex(hex));
    }

    private static AdapterEntry adapter(final Adapter adapter) {
        return AdapterEntry.newBuilder()
                .setId(adapter.id().value())
                .addAllVersions(
                        adapter.versions().stream().map(AdapterVersion::value).toList())
                .setOwner(adapter.owner().value())
                .addAllCallers(callers(adapter.callers(), adapter.owner()))
                .setTrafficClass(adapter.trafficClass().name())
                .setBaseModel(adapter.baseModel().value())
                .setOpen(adapter.open())
                .build();
    }

    private static List<String> callers(final Set<TeamId> callers, final TeamId owner) {
        return callers.stream()
                .filter(team -> !team.equals(owner))
                .map(TeamId::value)
                .sorted()
                .toList();
    }

    private static TargetEntry target(final Target target) {
        return TargetEntry.newBuilder()
                .setId(target.id().value())
                .setKind(target.kind().name())
                .setHost(target.host())
                .setPort(target.port())
                .setFailureDomain(target.failureDomain().value())
                .setBaseModel(target.baseModel().map(BaseModel::value).orElse(""))
                .setService(target.service().map(ServiceName::value).orElse(""))
                .setConcurrency(target.concurrency())
                .setAdapterSlots(target.adapterSlots())
                .setFencing(target.fencing())
                .setOut(target.out())
                .build();
    }

    private static ServiceEntry service(final PlainService service) {
        return ServiceEntry.newBuilder()
                .setName(service.name().value())
                .setOwner(service.owner().value())
                .addAllCallers(callers(service.callers(), service.owner()))
                .setTrafficClass(service.trafficClass().name())
                .addAllRoutes(service.routes().stream().map(EntryEncoder::route).toList())
                .build();
    }

    private static RouteEntry route(final ServiceRoute route) {
        return RouteEntry.newBuilder()
                .setMethod(route.method())
                .setPathPrefix(route.pathPrefix())
                .setIdempotent(route.idempotent())
                .setOpen(route.open())
                .build();
    }
}
