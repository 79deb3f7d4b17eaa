package org.balsambank.standin.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.CompletionCall;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.client.ServiceCall;
import org.balsambank.standin.client.TokenListener;

/**
 * Sends a completion, a streamed completion and a non-idempotent service call through different VMs and checks each
 * response.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(
        name = "smoke",
        description = "sends three calls through different VMs; exit code 1 if a response is incorrect")
public final class SmokeCommand implements Runnable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final int EXIT_INCORRECT = 1;
    private static final int TOKENS = 12;

    @Option(name = "--vm", description = "callers' endpoint of a VM as host:port; may be repeated")
    @Required
    private List<String> vms = new ArrayList<>();

    @Option(name = "--key", description = "key of the team that owns the first adapter and the service")
    private String firstKey = "ribera-demo-key";

    @Option(name = "--second-key", description = "key of the team that owns the second adapter")
    private String secondKey = "vysocina-demo-key";

    @Option(name = "--adapter", description = "adapter@version of the completion")
    private String firstAdapter = "thesis-tickets@2";

    @Option(name = "--second-adapter", description = "adapter@version of the streamed completion")
    private String secondAdapter = "weighing-summaries@1";

    @Option(name = "--service", description = "plain service")
    private String service = "orders";

    private int incorrect;

    @Override
    public void run() {
        final Vertx vertx = Vertx.vertx();
        final CallerClient client = new CallerClient(vertx, vms.size(), CALL_TIMEOUT);
        checkCompletion(client, 0, firstKey, firstAdapter, false);
        checkCompletion(client, 1, secondKey, secondAdapter, true);
        checkService(client, 2);
        vertx.close();
        System.out.println(incorrect == 0 ? "all responses are correct" : incorrect + " responses are incorrect");
        if (incorrect != 0) {
            System.exit(EXIT_INCORRECT);
        }
    }

    private Endpoint vm(final int index) {
        return Endpoint.parse(vms.get(index % vms.size()));
    }

    private void checkCompletion(
            final CallerClient client, final int vm, final String key, final String adapter, final boolean stream) {
        final CompletionCall call =
                new CompletionCall(key, adapter, "Bind the thesis of desk 4 before noon.", TOKENS, stream);
        final CallResult result =
                client.complete(vm(vm), call, TokenListener.NONE).blockingGet();
        final boolean correct = result.isWhole()
                && result.adapter().equals(adapter)
                && !result.target().isEmpty()
                && call.isAnsweredBy(adapter, result.text());
        report(stream ? "streamed completion" : "completion", vm(vm), result, correct);
    }

    private void checkService(final CallerClient client, final int vm) {
        final String id = UUID.randomUUID().toString();
        final ServiceCall call = new ServiceCall(firstKey, service, "/orders", "{\"copies\":3}", id, id);
        final CallResult result = client.call(vm(vm), call).blockingGet();
        report("service call", vm(vm), result, result.isWhole() && ranOnce(result, id));
    }

    private static boolean ranOnce(final CallResult result, final String id) {
        final JsonObject response = new JsonObject(result.text());
        return id.equals(response.getString("key")) && response.getLong("run") == 1;
    }

    private void report(final String name, final Endpoint vm, final CallResult result, final boolean correct) {
        incorrect += correct ? 0 : 1;
        System.out.printf(
                "%s through %s: %s%n  status=%d target=%s adapter=%s trace=%s%s%n  %s%n",
                name,
                vm,
                correct ? "right" : "WRONG",
                result.status(),
                result.target(),
                result.adapter(),
                result.traceId(),
                result.kind().isEmpty() ? "" : " error=" + result.kind(),
                result.text());
    }
}
