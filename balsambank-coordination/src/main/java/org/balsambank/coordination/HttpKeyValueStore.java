package org.balsambank.coordination;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import org.balsambank.core.id.LeaseId;
import org.balsambank.core.port.KeyValueChange;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.KeyValueSnapshot;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.port.StoreEra;

/**
 * A client for the HTTP protocol of the key-value service.
 *
 * <p>Immutable and thread-safe; results arrive on the context given at creation.
 */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final HttpRequestSender sender;
    private final String base;
    private final KeyValueTimeouts timeouts;
    private final StoreEra era = new StoreEra();

    /**
     * Creates a client.
     *
     * @param context the decision loop
     * @param base the base URL of the service, without a trailing slash
     * @param timeouts the timeouts of the calls
     */
    public HttpKeyValueStore(final Context context, final String base, final KeyValueTimeouts timeouts) {
        this.sender = new HttpRequestSender(context);
        this.base = Objects.requireNonNull(base);
        this.timeouts = Objects.requireNonNull(timeouts);
    }

    @Override
    public StoreEra era() {
        return era;
    }

    @Override
    public Single<Optional<KeyValueEntry>> read(final String key) {
        return send(HttpMethod.GET, keyPath(key), null, timeouts.call()).map(response -> {
            if (response.statusCode() == NOT_FOUND) {
                return Optional.empty();
            }
            return Optional.of(entry(body(response)));
        });
    }

    @Override
    public Single<KeyValueSnapshot> list(final String prefix) {
        return send(HttpMethod.GET, "/v1/keys?prefix=" + encoded(prefix), null, timeouts.call())
                .map(response -> snapshot(body(response)));
    }

    @Override
    public Single<Long> compareAndSwap(
            final String key, final long expectedRevision, final ByteString value, final Optional<LeaseId> lease) {
        final JsonObject body = new JsonObject()
                .put("value", Base64.getEncoder().encodeToString(value.toByteArray()))
                .put("expect", expectedRevision);
        lease.ifPresent(id -> body.put("lease", id.value()));
        return send(HttpMethod.PUT, keyPath(key), body, timeouts.call())
                .map(response -> required(body(response).getLong("revision")));
    }

    @Override
    public Completable delete(final String key, final long expectedRevision) {
        return send(HttpMethod.DELETE, keyPath(key) + "?expect=" + expectedRevision, null, timeouts.call())
                .doOnSuccess(HttpKeyValueStore::requireOk)
                .ignoreElement();
    }

    @Override
    public Single<LeaseId> grantLease(final Duration timeToLive) {
        final JsonObject body = new JsonObject().put("ttlMillis", timeToLive.toMillis());
        return send(HttpMethod.POST, "/v1/leases", body, timeouts.call())
                .map(response -> new LeaseId(required(body(response).getString("lease"))));
    }

    @Override
    public Completable renewLease(final LeaseId lease) {
        return send(HttpMethod.POST, leasePath(lease) + "/renew", null, timeouts.call())
                .doOnSuccess(HttpKeyValueStore::requireOk)
                .ignoreElement();
    }

    @Override
    public Completable revokeLease(final LeaseId lease) {
        return send(HttpMethod.DELETE, leasePath(lease), null, timeouts.call())
                .doOnSuccess(HttpKeyValueStore::requireOk)
                .ignoreElement();
    }

    @Override
    public Flowable<KeyValueChange> watch(final String prefix, final long afterRevision) {
        return Flowable.defer(() -> {
            final AtomicLong seen = new AtomicLong(afterRevision);
            return Single.defer(() -> poll(prefix, seen))
                    .flattenAsFlowable(changes -> changes)
                    .repeat();
        });
    }

    private Single<List<KeyValueChange>> poll(final String prefix, final AtomicLong seen) {
        final Duration wait = timeouts.watch();
        final String path =
                "/v1/watch?prefix=" + encoded(prefix) + "&after=" + seen.get() + "&waitMillis=" + wait.toMillis();
        return send(HttpMethod.GET, path, null, wait.plus(timeouts.call())).map(response -> {
            final JsonObject body = body(response);
            final List<KeyValueChange> changes = changes(body);
            seen.set(Math.max(seen.get(), required(body.getLong("revision"))));
            return changes;
        });
    }

    private Single<HttpResponse<Buffer>> send(
            final HttpMethod method, final String path, final JsonObject body, final Duration timeout) {
        return sender.send(method, base + path, body, timeout);
    }

    private static JsonObject body(final HttpResponse<Buffer> response) throws KeyValueException {
        requireOk(response);
        try {
            return required(response.bodyAsJsonObject());
        } catch (final RuntimeException e) {
            throw malformed();
        }
    }

    private static void requireOk(final HttpResponse<Buffer> response) throws KeyValueException {
        final int status = response.statusCode();
        if (status != OK) {
            throw new KeyValueException(reason(status), "the key-value service responded with status " + status);
        }
    }

    private static Reason reason(final int status) {
        if (status == CONFLICT) {
            return Reason.CONFLICT;
        }
        if (status == GONE) {
            return Reason.LEASE_ENDED;
        }
        if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR || status == UNAVAILABLE) {
            return Reason.REFUSED;
        }
        return Reason.UNKNOWN;
    }

    private static KeyValueSnapshot snapshot(final JsonObject body) throws KeyValueException {
        final List<KeyValueEntry> entries = new ArrayList<>();
        for (final Object item : required(body.getJsonArray("entries"))) {
            entries.add(entry((JsonObject) item));
        }
        return new KeyValueSnapshot(required(body.getLong("revision")), entries);
    }

    private static KeyValueEntry entry(final JsonObject item) throws KeyValueException {
        return new KeyValueEntry(
                required(item.getString("key")),
                decoded(required(item.getString("value"))),
                required(item.getLong("revision")));
    }

    private static List<KeyValueChange> changes(final JsonObject body) throws KeyValueException {
        final List<KeyValueChange> changes = new ArrayList<>();
        for (final Object item : required(body.getJsonArray("changes"))) {
            final JsonObject change = (JsonObject) item;
            final String value = change.getString("value");
            changes.add(new KeyValueChange(
                    required(change.getString("key")),
                    value == null ? Optional.empty() : Optional.of(decoded(value)),
                    required(change.getLong("revision"))));
        }
        return changes;
    }

    private static ByteString decoded(final String base64) throws KeyValueException {
        try {
            return ByteString.copyFrom(Base64.getDecoder().decode(base64));
        } catch (final IllegalArgumentException e) {
            throw malformed();
        }
    }

    private static <T> T required(final T field) throws KeyValueException {
        if (field == null) {
            throw malformed();
        }
        return field;
    }

    private static KeyValueException malformed() {
        return new KeyValueException(Reason.UNKNOWN, "malformed response of the key-value service");
    }

    private static String keyPath(final String key) {
        return "/v1/keys/" + encoded(key);
    }

    private static String leasePath(final LeaseId lease) {
        return "/v1/leases/" + encoded(lease.value());
    }

    private static String encoded(final String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
