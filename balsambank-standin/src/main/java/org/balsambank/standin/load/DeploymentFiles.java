package org.balsambank.standin.load;

import java.util.Locale;
import java.util.Objects;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.balsambank.core.catalogue.KeyHash;
import org.balsambank.core.catalogue.key.KeyHasher;

/**
 * Generates the catalogue, the VM list and the VM settings of a deployment.
 *
 * <p>Immutable and thread-safe.
 */
public final class DeploymentFiles {
    /** The operators' token of all VMs. */
    public static final String OPERATORS_TOKEN = "drill-operator-token";

    private static final String FLEET_TOKEN = "drill-fleet-token";
    private static final String SALT = "6f1d3a9be27c40858c1b7d5502aa31f4";

    private final Profile profile;
    private final Ports ports;
    private final double limitsFactor;
    private final int concurrency;

    /**
     * Creates a generator for a deployment.
     *
     * @param profile the deployment
     * @param ports its ports
     * @param limitsFactor the factor that is applied to the rate and burst of each team
     * @param concurrency the maximum number of requests that an engine runs concurrently
     */
    public DeploymentFiles(final Profile profile, final Ports ports, final double limitsFactor, final int concurrency) {
        this.profile = Objects.requireNonNull(profile);
        this.ports = Objects.requireNonNull(ports);
        this.limitsFactor = limitsFactor;
        this.concurrency = concurrency;
    }

    /**
     * Returns the id of a VM.
     *
     * @param index zero-based index of the VM
     * @return the VM id
     */
    public static String vm(final int index) {
        return "vm" + (index + 1);
    }

    /**
     * Returns the target id of an engine.
     *
     * @param index zero-based index of the engine
     * @return the target id
     */
    public static String engine(final int index) {
        return String.format(Locale.ROOT, "engine-%02d", index + 1);
    }

    /**
     * Returns the target id of an application runner.
     *
     * @param index zero-based index of the application runner
     * @return the target id
     */
    public static String application(final int index) {
        return String.format(Locale.ROOT, "application-%02d", index + 1);
    }

    /**
     * Returns the catalogue. All teams but the first may call the service.
     *
     * @return the JSON object
     */
    public JsonObject catalogue() {
        final JsonArray teams = new JsonArray();
        final JsonArray adapters = new JsonArray();
        final JsonArray callers = new JsonArray();
        for (final TeamProfile team : profile.teams()) {
            teams.add(team(team));
            callers.add(team.id());
            for (int i = 0; i < team.adapters(); i++) {
                adapters.add(adapter(team, i));
            }
        }
        callers.remove(0);
        return new JsonObject()
                .put("teams", teams)
                .put("adapters", adapters)
                .put("targets", targets())
                .put("services", new JsonArray().add(service(callers)));
    }

    /**
     * Returns the settings of a VM.
     *
     * @param index zero-based index of the VM
     * @return the JSON object
     */
    public JsonObject settings(final int index) {
        return new JsonObject()
                .put("vm", vm(index))
                .put("failureDomain", profile.domain(index))
                .put("callers", listener(ports.callers(index)))
                .put("operators", listener(ports.operators(index)).put("token", OPERATORS_TOKEN))
                .put("peers", listener(ports.peers(index)).put("fleetToken", FLEET_TOKEN))
                .put("keyValue", new JsonObject().put("url", url(ports.keyValue())))
                .put("vmList", new JsonObject().put("url", url(ports.vmList())));
    }

    /**
     * Returns the response of the VM list.
     *
     * @param vms the number of VMs
     * @return the JSON object in the format of the VM list protocol
     */
    public JsonObject vmList(final int vms) {
        final JsonArray list = new JsonArray();
        for (int i = 0; i < vms; i++) {
            list.add(new JsonObject()
                    .put("id", vm(i))
                    .put("failureDomain", profile.domain(i))
                    .put("host", Ports.HOST)
                    .put("peerPort", ports.peers(i))
                    .put("state", "live"));
        }
        return new JsonObject().put("vms", list);
    }

    private static String url(final int port) {
        return "http://" + Ports.HOST + ":" + port;
    }

    private static JsonObject listener(final int port) {
        return new JsonObject().put("host", Ports.HOST).put("port", port);
    }

    private JsonObject team(final TeamProfile team) {
        final KeyHash key = KeyHasher.hashKey(team.id() + "-1", SALT, team.key());
        final JsonObject keyJson =
                new JsonObject().put("name", key.name()).put("salt", key.salt()).put("hash", key.hash());
        return new JsonObject()
                .put("id", team.id())
                .put("unit", lower(team.limit().unit()))
                .put("rate", team.limit().perSecond() * limitsFactor)
                .put("burst", team.limit().burst() * limitsFactor)
                .put("weight", team.weight())
                .put("keys", new JsonArray().add(keyJson));
    }

    private static JsonObject adapter(final TeamProfile team, final int index) {
        return new JsonObject()
                .put("id", team.adapter(index))
                .put("versions", new JsonArray().add(Profile.VERSION))
                .put("owner", team.id())
                .put("class", lower(team.trafficClass()))
                .put("baseModel", Profile.BASE_MODEL);
    }

    private JsonArray targets() {
        final JsonArray targets = new JsonArray();
        for (int i = 0; i < Profile.ENGINES; i++) {
            targets.add(target(engine(i), "model_runner", ports.engine(i), i)
                    .put("baseModel", Profile.BASE_MODEL)
                    .put("concurrency", concurrency)
                    .put("adapterSlots", Profile.SLOTS)
                    .put("fencing", i % 2 == 0));
        }
        for (int i = 0; i < Profile.SERVICES; i++) {
            targets.add(target(application(i), "application_runner", ports.service(i), i)
                    .put("service", profile.service())
                    .put("concurrency", 2 * Profile.CONCURRENCY));
        }
        return targets;
    }

    private JsonObject target(final String id, final String kind, final int port, final int index) {
        return listener(port).put("id", id).put("kind", kind).put("failureDomain", profile.domain(index));
    }

    private JsonObject service(final JsonArray callers) {
        final JsonObject route = new JsonObject()
                .put("method", "POST")
                .put("path", profile.servicePath())
                .put("idempotent", false);
        return new JsonObject()
                .put("name", profile.service())
                .put("owner", profile.teams().get(0).id())
                .put("callers", callers)
                .put("routes", new JsonArray().add(route));
    }

    private static String lower(final Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
