package org.balsambank.standin.kv;

import java.time.Duration;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.balsambank.standin.http.Answers;
import org.balsambank.standin.http.HttpStandin;

/**
 * A stand-in for the key-value service that can inject outages, delays, dropped responses and stale reads.
 *
 * <p>A response to a write, a removal, a lease grant or a revocation is dropped by closing the connection after the
 * operation. Confined to its event loop.
 */
public final class KeyValueServer extends HttpStandin {
    private static final Duration LEASE_EXPIRY_CHECK_PERIOD = Duration.ofMillis(20);
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int GONE = 410;

    private final CallCounters counters = new CallCounters();

    private KeyValueModel model;
    private long responsesToDrop;
    private SortedMap<String, StoredValue> staleEntries;
    private long staleRevision;

    /**
     * Creates a server that is not started.
     *
     * @param port the TCP port on loopback, 0 for any free port
     */
    public KeyValueServer(final int port) {
        super(port);
    }

    @Override
    protected void prepare() {
        model = new KeyValueModel(timer());
        timer().every(LEASE_EXPIRY_CHECK_PERIOD).subscribe(ignored -> model.expireLeases());
    }

    @Override
    protected void addRoutes(final Router router) {
        router.get("/v1/keys").handler(this::list);
        router.get("/v1/keys/:key").handler(this::read);
        router.put("/v1/keys/:key").handler(this::write);
        router.delete("/v1/keys/:key").handler(this::delete);
        router.post("/v1/leases").handler(this::grant);
        router.post("/v1/leases/:lease/renew").handler(this::renew);
        router.delete("/v1/leases/:lease").handler(this::revoke);
        router.get("/v1/watch").handler(this::watch);
    }

    @Override
    protected void order(final JsonObject order) {
        responsesToDrop = order.getLong("loseAnswers", responsesToDrop);
        if (order.containsKey("staleReads")) {
            staleEntries = order.getBoolean("staleReads") ? model.list("") : null;
            staleRevision = model.revision();
        }
        if (order.getBoolean("resetStats", false)) {
            counters.reset();
        }
    }

    @Override
    protected JsonObject stats() {
        return counters.toJson().put("revision", model.revision()).put("leases", model.leaseCount());
    }

    private void list(final RoutingContext call) {
        counters.count("list");
        final String prefix = call.request().getParam("prefix", "");
        final SortedMap<String, StoredValue> found =
                staleEntries == null ? model.list(prefix) : withPrefix(staleEntries, prefix);
        final JsonArray entries = new JsonArray();
        found.forEach((key, stored) -> entries.add(entryJson(key, stored)));
        final long revision = staleEntries == null ? model.revision() : staleRevision;
        Answers.send(
                call, Answers.OK, new JsonObject().put("revision", revision).put("entries", entries));
    }

    private static SortedMap<String, StoredValue> withPrefix(
            final SortedMap<String, StoredValue> entries, final String prefix) {
        final SortedMap<String, StoredValue> found = new TreeMap<>(entries);
        found.keySet().removeIf(key -> !key.startsWith(prefix));
        return found;
    }

    private void read(final RoutingContext call) {
        counters.count("read");
        final String key = call.pathParam("key");
        final StoredValue stored = staleEntries == null ? model.read(key).orElse(null) : staleEntries.get(key);
        if (stored == null) {
            Answers.error(call, NOT_FOUND, "no key " + key);
            return;
        }
        Answers.send(call, Answers.OK, entryJson(key, stored));
    }

    private static JsonObject entryJson(final String key, final StoredValue stored) {
        return new JsonObject().put("key", key).put("value", stored.value()).put("revision", stored.revision());
    }

    private void write(final RoutingContext call) {
        counters.count("write");
        try {
            final JsonObject body = bodyOf(call);
            final long lease = leaseOf(body.getValue("lease"));
            sendWriteResult(
                    call,
                    model.write(call.pathParam("key"), body.getLong("expect", 0L), body.getString("value", ""), lease));
        } catch (final DecodeException | ClassCastException | NumberFormatException e) {
            Answers.error(call, BAD_REQUEST, e.getMessage());
        }
    }

    private static long leaseOf(final Object value) {
        return value == null || value.toString().isEmpty() ? 0 : Long.parseLong(value.toString());
    }

    private void delete(final RoutingContext call) {
        counters.count("delete");
        try {
            final long expected = Long.parseLong(call.request().getParam("expect", "0"));
            sendWriteResult(call, model.delete(call.pathParam("key"), expected));
        } catch (final NumberFormatException e) {
            Answers.error(call, BAD_REQUEST, e.getMessage());
        }
    }

    private void sendWriteResult(final RoutingContext call, final WriteResult result) {
        if (result.status() == WriteResult.Status.CONFLICT) {
            counters.count("conflict");
        }
        if (dropResponse(call)) {
            return;
        }
        Answers.send(call, result.status().code(), new JsonObject().put("revision", result.revision()));
    }

    private boolean dropResponse(final RoutingContext call) {
        if (responsesToDrop <= 0) {
            return false;
        }
        responsesToDrop--;
        counters.count("lostAnswer");
        call.request().connection().close();
        return true;
    }

    private void grant(final RoutingContext call) {
        counters.count("leaseGrant");
        final long lease = model.grantLease(Duration.ofMillis(bodyOf(call).getLong("ttlMillis", 0L)));
        if (!dropResponse(call)) {
            Answers.send(call, Answers.OK, new JsonObject().put("lease", Long.toString(lease)));
        }
    }

    private void renew(final RoutingContext call) {
        counters.count("leaseRenew");
        if (model.renewLease(Long.parseLong(call.pathParam("lease")))) {
            Answers.ok(call);
        } else {
            Answers.error(call, GONE, "the lease has ended");
        }
    }

    private void revoke(final RoutingContext call) {
        counters.count("leaseRevoke");
        model.revokeLease(Long.parseLong(call.pathParam("lease")));
        if (!dropResponse(call)) {
            Answers.ok(call);
        }
    }

    private void watch(final RoutingContext call) {
        counters.count("watch");
        final String prefix = call.request().getParam("prefix", "");
        final long after = Long.parseLong(call.request().getParam("after", "0"));
        final long waitMillis = Long.parseLong(call.request().getParam("waitMillis", "0"));
        final var pending = model.watch(prefix, after, Duration.ofMillis(waitMillis))
                .subscribe(result -> Answers.send(call, Answers.OK, watchJson(result)));
        call.response().closeHandler(ignored -> pending.dispose());
    }

    private static JsonObject watchJson(final WatchResult result) {
        final JsonArray changes = new JsonArray();
        for (final KeyChange change : result.changes()) {
            changes.add(new JsonObject()
                    .put("key", change.key())
                    .put("value", change.value().orElse(null))
                    .put("revision", change.revision()));
        }
        return new JsonObject().put("revision", result.revision()).put("changes", changes);
    }
}
