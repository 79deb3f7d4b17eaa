import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: many adapters are asked for at once, of which a server's memory holds fewer than it has places. */
final class AdapterMemoryCase {
    private static final String KEY = "i9n73hh2b9wu3fexd9dn";
    private static final String MODEL = "daka510000";
    private static final double MODEL_MB = 42_700;
    private static final double SERVER_MB = 43_000;
    private static final double ADAPTER_MB = 66;
    private static final int PLACES = 6;
    private static final int ADAPTERS_IN_TROUBLE = 12;
    private static final int ADAPTERS_USUALLY = 4;
    private static final int CLIENTS = 12;
    private static final long RUN_MILLIS = 20_000;

    private AdapterMemoryCase() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Path folder = Files.createTempDirectory("case");
        int crashes = 0;
        try (Record record = new Record(Path.of(arguments[0]))) {
            final Store store = new Store("127.0.0.1");
            store.put("op/config", config());
            final List<EngineRunner> runners = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                runners.add(new EngineRunner(
                        "i-" + i, store, record, MODEL, SERVER_MB - MODEL_MB, ADAPTER_MB, PLACES));
            }
            final Vm vm = new Vm(folder, "front-1", "127.0.0.1", "z1", store.port());
            vm.start();
            if (!vm.awaitReady(30)) {
                record.line("the process is not ready");
                System.exit(2);
            }
            Thread.sleep(4_000);
            final AtomicInteger served = new AtomicInteger();
            final AtomicInteger other = new AtomicInteger();
            final int adapters = trouble ? ADAPTERS_IN_TROUBLE : ADAPTERS_USUALLY;
            final long until = System.nanoTime() + RUN_MILLIS * 1_000_000;
            final List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                final int first = i;
                final Thread thread = new Thread(() -> client(vm, first, adapters, until, served, other));
                thread.start();
                threads.add(thread);
            }
            for (final Thread thread : threads) {
                thread.join();
            }
            vm.stop();
            for (final EngineRunner runner : runners) {
                crashes += runner.crashes();
                record.line(runner.id + " crashed " + runner.crashes() + " times and cut off " + runner.cut()
                        + " running requests");
            }
            record.line("served " + served + ", not served " + other);
            if (served.get() == 0) {
                System.exit(2);
            }
        } catch (final IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(crashes > 0 ? 1 : 0);
    }

    private static void client(
            final Vm vm,
            final int client,
            final int adapters,
            final long until,
            final AtomicInteger served,
            final AtomicInteger other) {
        for (int n = 0; System.nanoTime() < until; n++) {
            final String id = "c" + client + "n" + n;
            final String adapter = "a" + (1 + (client + n) % adapters);
            try (Client connection = new Client(vm, 6_000)) {
                connection.send(Deployment.head("POST", "/lohu930/2f", id, KEY) + "X-Model: " + MODEL + "/" + adapter
                        + "\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: " + Integer.toHexString(client) + ":100\r\n"
                        + "Content-Length: " + id.length() + "\r\n\r\n" + id);
                if (connection.read("POST").status() == 200) {
                    served.incrementAndGet();
                } else {
                    other.incrementAndGet();
                }
                Thread.sleep(100);
            } catch (final IOException e) {
                other.incrementAndGet();
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private static String config() {
        return "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Host\":\"" + Deployment.HOST
                + "\",\"PathPrefix\":\"/lohu930/\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,"
                + "\"TargetLatencyMs\":1000,\"TargetGapMs\":400,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":1,"
                + "\"Public\":false,\"Sticky\":true,\"Resumable\":false}],\"Services\":[{\"Name\":\"llm\","
                + "\"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"Engine\":{\"Slots\":64,\"KvCapacity\":112864,"
                + "\"KvTokenBytes\":163840,\"LinkMbps\":130000.0,\"Models\":[{\"Name\":\"" + MODEL
                + "\",\"WeightsMb\":" + MODEL_MB + ",\"LoadS\":0.6,\"Adapters\":3000,\"AdapterMb\":" + ADAPTER_MB
                + "}],\"WeightsMb\":" + SERVER_MB + ",\"AdapterSlots\":" + PLACES + ",\"LoadsPerS\":4.2}}],"
                + Deployment.limits() + ",\"Tenants\":[" + Deployment.tenant("hule930", KEY) + "]}";
    }
}
