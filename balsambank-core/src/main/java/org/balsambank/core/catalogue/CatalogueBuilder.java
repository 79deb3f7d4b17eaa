package org.balsambank.core.catalogue;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.id.AdapterId;
import org.balsambank.core.id.AdapterVersion;
import org.balsambank.core.id.BaseModel;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.id.TargetId;
import org.balsambank.core.id.TeamId;
import org.balsambank.core.id.VmId;

/**
 * Builds a catalogue from a validated document.
 *
 * <p>Stateless and thread-safe. The document must have passed all checks.
 */
final class CatalogueBuilder {
    private static final String DEFAULT_WEIGHT = "1";
    private static final String DEFAULT_CLASS = "normal";
    private static final String DEFAULT_SLOTS = "0";

    private CatalogueBuilder() {}

    /**
     * Builds a catalogue.
     *
     * @param root the root object
     * @param revision the revision of the catalogue
     * @return the catalogue
     */
    static Catalogue build(final DocumentNode root, final Revision revision) {
        return new Catalogue(
                revision,
                entries(root, "teams", CatalogueBuilder::team, Team::id),
                entries(root, "adapters", CatalogueBuilder::adapter, Adapter::id),
                entries(root, "targets", CatalogueBuilder::target, Target::id),
                entries(root, "services", CatalogueBuilder::service, PlainService::name),
                ids(root, "domainsOut", FailureDomain::new),
                ids(root, "vmsOut", VmId::new));
    }

    private static <K, E> Map<K, E> entries(
            final DocumentNode root,
            final String list,
            final Function<DocumentNode, E> build,
            final Function<E, K> id) {
        final Map<K, E> entries = new LinkedHashMap<>();
        for (final DocumentNode node : root.items(list)) {
            final E entry = build.apply(node);
            entries.put(id.apply(entry), entry);
        }
        return entries;
    }

    private static <T> Set<T> ids(final DocumentNode node, final String list, final Function<String, T> id) {
        return node.items(list).stream().map(DocumentNode::text).map(id).collect(Collectors.toUnmodifiableSet());
    }

    private static Team team(final DocumentNode node) {
        final RateUnit unit = RateUnit.valueOf(enumName(node, "unit", ""));
        final RateLimit limit = new RateLimit(
                unit,
                number(node, "rate", "").doubleValue(),
                number(node, "burst", "").doubleValue());
        final List<KeyHash> keys =
                node.items("keys").stream().map(CatalogueBuilder::key).toList();
        return new Team(
                new TeamId(text(node, "id")),
                limit,
                number(node, "weight", DEFAULT_WEIGHT).doubleValue(),
                keys);
    }

    private static KeyHash key(final DocumentNode node) {
        return new KeyHash(text(node, "name"), text(node, "salt"), text(node, "hash"));
    }

    private static Adapter adapter(final DocumentNode node) {
        final List<AdapterVersion> versions = node.items("versions").stream()
                .map(version -> new AdapterVersion(version.text()))
                .toList();
        return new Adapter(
                new AdapterId(text(node, "id")),
                versions,
                owner(node),
                callers(node),
                trafficClass(node),
                new BaseModel(text(node, "baseModel")),
                flag(node, "open"));
    }

    private static Target target(final DocumentNode node) {
        return new Target(
                new TargetId(text(node, "id")),
                TargetKind.valueOf(enumName(node, "kind", "")),
                text(node, "host"),
                number(node, "port", "").intValue(),
                new FailureDomain(text(node, "failureDomain")),
                node.text("baseModel").map(BaseModel::new),
                node.text("service").map(ServiceName::new),
                number(node, "concurrency", "").intValue(),
                number(node, "adapterSlots", DEFAULT_SLOTS).intValue(),
                flag(node, "fencing"),
                flag(node, "out"));
    }

    private static PlainService service(final DocumentNode node) {
        return new PlainService(
                new ServiceName(text(node, "name")),
                owner(node),
                callers(node),
                trafficClass(node),
                node.items("routes").stream().map(CatalogueBuilder::route).toList());
    }

    private static ServiceRoute route(final DocumentNode node) {
        return new ServiceRoute(text(node, "method"), text(node, "path"), flag(node, "idempotent"), flag(node, "open"));
    }

    private static TeamId owner(final DocumentNode node) {
        return new TeamId(text(node, "owner"));
    }

    private static Set<TeamId> callers(final DocumentNode node) {
        return Stream.concat(Stream.of(owner(node)), ids(node, "callers", TeamId::new).stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    private static TrafficClass trafficClass(final DocumentNode node) {
        return TrafficClass.valueOf(enumName(node, "class", DEFAULT_CLASS));
    }

    private static String text(final DocumentNode node, final String field) {
        return node.text(field).orElseThrow();
    }

    private static String enumName(final DocumentNode node, final String field, final String defaultValue) {
        return node.text(field).orElse(defaultValue).toUpperCase(Locale.ROOT);
    }

    private static BigDecimal number(final DocumentNode node, final String field, final String defaultValue) {
        return new BigDecimal(node.text(field).orElse(defaultValue));
    }

    private static boolean flag(final DocumentNode node, final String field) {
        return Boolean.parseBoolean(node.text(field).orElse("false"));
    }
}
