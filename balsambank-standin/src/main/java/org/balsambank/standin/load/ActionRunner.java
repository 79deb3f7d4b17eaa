package org.balsambank.standin.load;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.load.ScheduledAction.Verb;

/**
 * Performs the actions of a run through the operators' port of a VM or the control path of a stand-in.
 *
 * <p>Immutable and thread-safe.
 */
final class ActionRunner {
    private static final String VALUE_SEPARATOR = "=";

    private final CallerClient client;
    private final Ports ports;

    /**
     * Creates a runner.
     *
     * @param client sends the requests
     * @param ports the ports of the deployment
     */
    ActionRunner(final CallerClient client, final Ports ports) {
        this.client = client;
        this.ports = ports;
    }

    /**
     * Performs an action. A mark performs no request.
     *
     * @param action the action
     * @param vm zero-based index of the VM whose operators' port is called
     * @return the result; never fails
     */
    Single<CallResult> run(final ScheduledAction action, final int vm) {
        final String argument = encode(action.argument());
        return switch (action.verb()) {
            case DOMAIN_OUT -> callOperators(vm, HttpMethod.PUT, "/out/domains/" + argument);
            case DOMAIN_IN -> callOperators(vm, HttpMethod.DELETE, "/out/domains/" + argument);
            case VM_OUT -> callOperators(vm, HttpMethod.PUT, "/out/vms/" + argument);
            case VM_IN -> callOperators(vm, HttpMethod.DELETE, "/out/vms/" + argument);
            case KEY_WITHDRAW -> callOperators(vm, HttpMethod.DELETE, "/keys/" + argument + "/" + argument + "-1");
            case KEY_GIVE -> callOperators(vm, HttpMethod.POST, "/keys/" + argument + "/" + argument + "-2");
            case ENGINE_RESTART -> control(engine(action), "{\"restartEmpty\":true}");
            case ENGINE_COLD -> control(engine(action), "{\"cold\":true}");
            case ENGINE_LEAVING -> control(engine(action), "{\"leaving\":true}");
            case ENGINE_LIMIT ->
                control(
                        engine(action),
                        new JsonObject().put("requestLimit", value(action)).encode());
            case ENGINE_PAUSE -> control(engine(action), "{\"pauseSeconds\":" + value(action) + "}");
            case KV_OUT -> control(ports.keyValue(), "{\"outage\":true}");
            case KV_IN -> control(ports.keyValue(), "{\"outage\":false}");
            default -> Single.just(CallResult.NOTHING);
        };
    }

    /**
     * Returns whether an action changes the catalogue.
     *
     * @param verb the kind of action
     * @return true if the action goes to the operators' port of a VM
     */
    static boolean changesCatalogue(final Verb verb) {
        return switch (verb) {
            case DOMAIN_OUT, DOMAIN_IN, VM_OUT, VM_IN, KEY_WITHDRAW, KEY_GIVE -> true;
            default -> false;
        };
    }

    private int engine(final ScheduledAction action) {
        return ports.engine(Integer.parseInt(action.argument().split(VALUE_SEPARATOR)[0]) - 1);
    }

    /** Returns what stands behind the number of the engine. */
    private static String value(final ScheduledAction action) {
        final int separator = action.argument().indexOf(VALUE_SEPARATOR);
        return separator < 0 ? "" : action.argument().substring(separator + 1);
    }

    private Single<CallResult> callOperators(final int vm, final HttpMethod method, final String path) {
        final Endpoint endpoint = new Endpoint(Ports.HOST, ports.operators(vm));
        return client.fetch(endpoint, method, path, DeploymentFiles.OPERATORS_TOKEN, "");
    }

    private Single<CallResult> control(final int port, final String body) {
        return client.fetch(new Endpoint(Ports.HOST, port), HttpMethod.POST, "/control", "", body);
    }

    private static String encode(final String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
