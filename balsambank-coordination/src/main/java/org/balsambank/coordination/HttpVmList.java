package org.balsambank.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.port.VmList;

/**
 * Reads the VM list over HTTP. Calls fail with {@link KeyValueException}.
 *
 * <p>Immutable and thread-safe; results arrive on the context given at creation.
 */
public final class HttpVmList implements VmList {
    private static final int OK = 200;
    private static final String LEAVING = "leaving";

    private final HttpRequestSender sender;
    private final String base;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param context the decision loop
     * @param base the base URL of the service, without a trailing slash
     * @param timeout the response timeout
     */
    public HttpVmList(final Context context, final String base, final Duration timeout) {
        this.sender = new HttpRequestSender(context);
        this.base = Objects.requireNonNull(base);
        this.timeout = Objects.requireNonNull(timeout);
    }

    @Override
    public Single<List<VmEntry>> list() {
        return sender.send(HttpMethod.GET, base + "/v1/vms", null, timeout).map(HttpVmList::entries);
    }

    private static List<VmEntry> entries(final HttpResponse<Buffer> response) throws KeyValueException {
        if (response.statusCode() != OK) {
            throw new KeyValueException(
                    Reason.REFUSED, "the VM list service responded with status " + response.statusCode());
        }
        try {
            final JsonArray vms =
                    Objects.requireNonNull(response.bodyAsJsonObject().getJsonArray("vms"));
            final List<VmEntry> entries = new ArrayList<>();
            vms.forEach(vm -> entries.add(entry((JsonObject) vm)));
            return entries;
        } catch (final RuntimeException e) {
            throw new KeyValueException(Reason.UNKNOWN, "malformed response of the VM list service");
        }
    }

    private static VmEntry entry(final JsonObject vm) {
        return new VmEntry(
                new VmId(vm.getString("id")),
                new FailureDomain(vm.getString("failureDomain")),
                Objects.requireNonNull(vm.getString("host")),
                Objects.requireNonNull(vm.getInteger("peerPort")),
                LEAVING.equals(vm.getString("state")));
    }
}
