package org.balsambank.standin.vms;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import org.balsambank.standin.http.Answers;
import org.balsambank.standin.http.HttpStandin;

/**
 * A stand-in for the VM list. Edits by control requests become visible after a configurable lag.
 *
 * <p>Confined to its event loop.
 */
public final class VmListServer extends HttpStandin {
    private final Map<String, JsonObject> vms = new LinkedHashMap<>();

    private long lagMillis;
    private long calls;

    /**
     * Creates a server that is not started.
     *
     * @param port the TCP port on loopback
     * @param initial the initial VMs, in the format of the VM list protocol
     */
    public VmListServer(final int port, final List<JsonObject> initial) {
        super(port);
        initial.forEach(this::put);
    }

    @Override
    protected void addRoutes(final Router router) {
        router.get("/v1/vms").handler(call -> {
            calls++;
            Answers.send(call, Answers.OK, new JsonObject().put("vms", new JsonArray(List.copyOf(vms.values()))));
        });
    }

    @Override
    protected void order(final JsonObject order) {
        lagMillis = order.getLong("lagMillis", lagMillis);
        if (lagMillis > 0) {
            vertx.setTimer(lagMillis, ignored -> edit(order));
        } else {
            edit(order);
        }
    }

    @Override
    protected JsonObject stats() {
        return new JsonObject().put("calls", calls).put("vms", vms.size());
    }

    private void edit(final JsonObject order) {
        final JsonArray updates = order.getJsonArray("put", new JsonArray());
        for (int i = 0; i < updates.size(); i++) {
            put(updates.getJsonObject(i));
        }
        if (order.containsKey("remove")) {
            vms.remove(order.getString("remove"));
        }
        final JsonObject states = order.getJsonObject("states", new JsonObject());
        for (final String id : states.fieldNames()) {
            if (vms.containsKey(id)) {
                vms.get(id).put("state", states.getString(id));
            }
        }
    }

    private void put(final JsonObject vm) {
        final JsonObject copy = vm.copy();
        if (!copy.containsKey("state")) {
            copy.put("state", "live");
        }
        vms.put(copy.getString("id"), copy);
    }
}
