package org.balsambank.standin.load;

import java.util.List;

import org.balsambank.core.catalogue.RateLimit;
import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.core.catalogue.TrafficClass;

/**
 * A deployment: its failure domains, teams, targets and plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the deployment
 * @param domains the failure domains
 * @param teams the teams
 * @param service the plain service, which has no adapters
 * @param servicePath the path of the non-idempotent route of the service
 */
public record Profile(String name, List<String> domains, List<TeamProfile> teams, String service, String servicePath) {
    /** The number of engines. */
    public static final int ENGINES = 13;

    /** The number of application runners. */
    public static final int SERVICES = 4;

    /** The maximum number of requests that an engine runs concurrently. */
    public static final int CONCURRENCY = 16;

    /** The number of adapter slots of an engine. */
    public static final int SLOTS = 32;

    /** The base model. */
    public static final String BASE_MODEL = "base-8b";

    /** The version of every adapter. */
    public static final String VERSION = "1";

    private static final Profile RIBERA = new Profile(
            "ribera",
            List.of("Belén", "Laureles", "Poblado", "Envigado"),
            List.of(
                    byRequests("theses", 60, 120, 4, TrafficClass.URGENT, 1200, 0.7),
                    byRequests("notaries", 40, 80, 2, TrafficClass.NORMAL, 700, 0.6),
                    byRequests("offices", 30, 60, 2, TrafficClass.NORMAL, 600, 0.7),
                    byRequests("students", 20, 60, 1, TrafficClass.NORMAL, 400, 0.8),
                    byTokens("flyers", 4000, 16_000, TrafficClass.BULK, 100, 3)),
            "orders",
            "/print");

    private static final Profile VYSOCINA = new Profile(
            "vysocina",
            List.of("Jihlava", "Třebíč", "Pelhřimov", "Žďár"),
            List.of(
                    byRequests("hauliers", 50, 100, 4, TrafficClass.URGENT, 1000, 0.7),
                    byRequests("markets", 40, 120, 2, TrafficClass.NORMAL, 700, 0.6),
                    byRequests("farms", 40, 80, 2, TrafficClass.NORMAL, 900, 0.7),
                    byRequests("inspectors", 10, 20, 1, TrafficClass.NORMAL, 300, 0.8),
                    byTokens("archive", 6000, 24_000, TrafficClass.BULK, 100, 2)),
            "weighings",
            "/weighings");

    /** Copies the lists. */
    public Profile {
        domains = List.copyOf(domains);
        teams = List.copyOf(teams);
    }

    /**
     * Returns the deployment with a name.
     *
     * @param name {@code ribera} or {@code vysocina}
     * @return the deployment
     * @throws IllegalArgumentException if no deployment has this name
     */
    public static Profile of(final String name) {
        return switch (name) {
            case "ribera" -> RIBERA;
            case "vysocina" -> VYSOCINA;
            default -> throw new IllegalArgumentException("unknown profile " + name + "; expected ribera or vysocina");
        };
    }

    /**
     * Returns the failure domain of a target or VM. The domains are assigned round-robin.
     *
     * @param index zero-based index of the target or VM
     * @return the failure domain
     */
    public String domain(final int index) {
        return domains.get(index % domains.size());
    }

    private static TeamProfile byRequests(
            final String id,
            final double rate,
            final double burst,
            final double weight,
            final TrafficClass trafficClass,
            final int adapters,
            final double demand) {
        final RateLimit limit = new RateLimit(RateUnit.REQUESTS, rate, burst);
        return new TeamProfile(id, limit, weight, trafficClass, adapters, demand, 600, 32);
    }

    private static TeamProfile byTokens(
            final String id,
            final double rate,
            final double burst,
            final TrafficClass trafficClass,
            final int adapters,
            final double demand) {
        final RateLimit limit = new RateLimit(RateUnit.TOKENS, rate, burst);
        return new TeamProfile(id, limit, 1, trafficClass, adapters, demand, 400, 60);
    }
}
