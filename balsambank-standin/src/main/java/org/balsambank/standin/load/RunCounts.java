package org.balsambank.standin.load;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;

/**
 * Reads how often each call ran at the plain services. A service that does not respond is left out.
 *
 * <p>Immutable and thread-safe; blocks the calling thread.
 */
public final class RunCounts {
    private final CallerClient client;
    private final Ports ports;

    /**
     * Creates a reader.
     *
     * @param client sends the requests
     * @param ports the ports of the services
     */
    public RunCounts(final CallerClient client, final Ports ports) {
        this.client = client;
        this.ports = ports;
    }

    /**
     * Returns how often each call ran, summed over all services.
     *
     * @return the number of runs by idempotency key
     */
    public Map<String, Long> serviceRuns() {
        return read("runs");
    }

    /**
     * Returns how often each attempt ran, summed over all services.
     *
     * @return the number of runs by call id
     */
    public Map<String, Long> attempts() {
        return read("attempts");
    }

    private Map<String, Long> read(final String field) {
        final Map<String, Long> runs = new HashMap<>();
        for (int i = 0; i < Profile.SERVICES; i++) {
            final CallResult result = client.fetch(
                            new Endpoint(Ports.HOST, ports.service(i)), HttpMethod.GET, "/control/runs", "", "")
                    .blockingGet();
            if (result.isWhole()) {
                final JsonObject counts = new JsonObject(result.text()).getJsonObject(field, new JsonObject());
                counts.fieldNames().forEach(id -> runs.merge(id, counts.getLong(id), Long::sum));
            }
        }
        return runs;
    }
}
