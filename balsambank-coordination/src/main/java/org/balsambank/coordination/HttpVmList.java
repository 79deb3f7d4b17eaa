package org.balsambank.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.core.port.KeyValueException;
import org.balsambank.core.port.KeyValueException.Reason;
import org.balsambank.core.port.VmEntry;
import org.balsambank.core.port.VmList;

/**
 * Speaks the HTTP protocol of the VM list. Errors are {@link KeyValueException}.
 *
 * <p>Immutable and thread-safe; results arrive on the context given at creation.
 */
public final class HttpVmList implements VmList {
    private static final int OK = 200;
    private static final String LEAVING = "leaving";

    private final WebClient client;
    private final HttpRequestSender exchange;
    private final String base;
    private final Duration limit;

    /**
     * Creates a client.
     *
     * @param client sends the requests
     * @param context the decision loop
     * @param base the URL of the list's service, without a slash at its end
     * @param limit how long to wait for an answer
     */
    public HttpVmList(final WebClient client, final Context context, final String base, final Duration limit) {
        this.client = Objects.requireNonNull(client);
        this.exchange = new HttpRequestSender(context);
        this.base = Objects.requireNonNull(base);
        this.limit = Objects.requireNonNull(limit);
    }

    @Override
    public Single<List<VmEntry>> list() {
        return Single.defer(() -> exchange.send(client.getAbs(base + "/v1/vms"), null, limit))
                .map(HttpVmList::entries);
    }

    private static List<VmEntry> entries(final HttpResponse<Buffer> answer) throws KeyValueException {
        if (answer.statusCode() != OK) {
            throw new KeyValueException(Reason.REFUSED, "the VM list answered " + answer.statusCode());
        }
        try {
            final JsonArray vms =
                    Objects.requireNonNull(answer.bodyAsJsonObject().getJsonArray("vms"));
            final List<VmEntry> entries = new ArrayList<>();
            vms.forEach(vm -> entries.add(entry((JsonObject) vm)));
            return entries;
        } catch (final RuntimeException e) {
            throw new KeyValueException(Reason.UNKNOWN, "the answer of the VM list is malformed");
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
