package org.balsambank.core.catalogue.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.balsambank.core.catalogue.Adapter;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.KeyHash;
import org.balsambank.core.catalogue.PlainService;
import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.ServiceRoute;
import org.balsambank.core.catalogue.Target;
import org.balsambank.core.catalogue.TargetKind;
import org.balsambank.core.catalogue.Team;
import org.balsambank.core.catalogue.TrafficClass;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;
import org.balsambank.protocol.generated.catalogue.AdapterEntry;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;
import org.balsambank.protocol.generated.catalogue.RouteEntry;
import org.balsambank.protocol.generated.catalogue.ServiceEntry;
import org.balsambank.protocol.generated.catalogue.TargetEntry;
import org.balsambank.protocol.generated.catalogue.TeamEntry;

/**
 * Decodes stored entries to catalogue values.
 *
 * <p>Stateless and thread-safe.
 */
final class EntryDecoder {
    private EntryDecoder() {}

    /**
     * Decodes one entry.
     *
     * @param entry the entry
     * @return a team, adapter, target, service, failure domain or VM
     */
    static Object decode(final CatalogueEntry entry) {
        return switch (entry.getEntryCase()) {
            case TEAM -> team(entry.getTeam());
            case ADAPTER -> adapter(entry.getAdapter());
            case TARGET -> target(entry.getTarget());
            case SERVICE -> service(entry.getService());
            case DOMAIN_OUT -> new FailureDomain(entry.getDomainOut());
            case VM_OUT -> new VmId(entry.getVmOut());
            default -> throw new IllegalArgumentException("unknown entry type");
        };
    }

    /**
     * Assembles a catalogue from decoded entries.
     *
     * @param revision the revision of the catalogue
     * @param values the decoded entries
     * @return the catalogue
     */
    static Catalogue assemble(final Revision revision, final Collection<Object> values) {
        final Map<TeamId, Team> teams = new HashMap<>();
        final Map<AdapterId, Adapter> adapters = new HashMap<>();
        final Map<TargetId, Target> targets = new HashMap<>();
        final Map<ServiceName, PlainService> services = new HashMap<>();
        final Set<FailureDomain> domainsOut = new HashSet<>();
        final Set<VmId> vmsOut = new HashSet<>();
        for (final Object value : values) {
            if (value instanceof Adapter adapter) {
                adapters.put(adapter.id(), adapter);
            } else if (value instanceof Team team) {
                teams.put(team.id(), team);
            } else if (value instanceof Target target) {
                targets.put(target.id(), target);
            } else if (value instanceof PlainService service) {
                services.put(service.name(), service);
            } else if (value instanceof FailureDomain domain) {
                domainsOut.add(domain);
            } else if (value instanceof VmId vm) {
                vmsOut.add(vm);
            }
        }
        return new Catalogue(revision, teams, adapters, targets, services, domainsOut, vmsOut);
    }

    private static Team team(final TeamEntry entry) {
        final RateLimit limit =
                new RateLimit(RateUnit.valueOf(entry.getUnit()), entry.getPerSecond(), entry.getBurst());
        final List<KeyHash> keys = entry.getKeysList().stream()
                .map(key -> new KeyHash(key.getName(), hex(key.getSalt()), hex(key.getHash())))
                .toList();
        return new Team(new TeamId(entry.getId()), limit, entry.getWeight(), keys);
    }

    private static String hex(final ByteString bytes) {
        return HexFormat.of().formatHex(bytes.toByteArray());
    }

    private static Adapter adapter(final AdapterEntry entry) {
        return new Adapter(
                new AdapterId(entry.getId()),
                entry.getVersionsList().stream().map(AdapterVersion::new).toList(),
                new TeamId(entry.getOwner()),
                callers(entry.getOwner(), entry.getCallersList()),
                TrafficClass.valueOf(entry.getTrafficClass()),
                new BaseModel(entry.getBaseModel()),
                entry.getOpen());
    }

    private static Target target(final TargetEntry entry) {
        return new Target(
                new TargetId(entry.getId()),
                TargetKind.valueOf(entry.getKind()),
                entry.getHost(),
                entry.getPort(),
                new FailureDomain(entry.getFailureDomain()),
                present(entry.getBaseModel(), BaseModel::new),
                present(entry.getService(), ServiceName::new),
                entry.getConcurrency(),
                entry.getAdapterSlots(),
                entry.getFencing(),
                entry.getOut());
    }

    private static PlainService service(final ServiceEntry entry) {
        return new PlainService(
                new ServiceName(entry.getName()),
                new TeamId(entry.getOwner()),
                callers(entry.getOwner(), entry.getCallersList()),
                TrafficClass.valueOf(entry.getTrafficClass()),
                entry.getRoutesList().stream().map(EntryDecoder::route).toList());
    }

    private static ServiceRoute route(final RouteEntry entry) {
        return new ServiceRoute(entry.getMethod(), entry.getPathPrefix(), entry.getIdempotent(), entry.getOpen());
    }

    private static Set<TeamId> callers(final String owner, final List<String> others) {
        return Stream.concat(Stream.of(owner), others.stream())
                .map(TeamId::new)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static <T> Optional<T> present(final String text, final Function<String, T> id) {
        return text.isEmpty() ? Optional.empty() : Optional.of(id.apply(text));
    }
}
