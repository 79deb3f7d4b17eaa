import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One of the runners of a service sends bodies without end, in short chunks; clients send ordinary requests. */
final class Case13 {
    private static final String HOST = "127.0.0.1";
    private static final int RUNNERS = 4;
    private static final int IN_TROUBLE = 2;
    private static final int SLOTS = 6;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int LATE_MILLIS = TIMEOUT_MILLIS + 500;
    private static final int GIVE_UP_MILLIS = 9_000;
    private static final int ORDINARY_SECONDS = 12;
    private static final int ORDINARY_INTERVAL_MILLIS = 50;

    private final Rig rig;
    private final AtomicInteger inTime = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger neverAnswered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final List<Runner> runners = new ArrayList<>();

    private Case13(final Rig rig) {
        this.rig = rig;
    }

    public static void main(final String[] arguments) throws Exception {
        int code;
        try (Rig rig = new Rig(arguments)) {
            code = new Case13(rig).run();
        } catch (final IOException e) {
            System.err.println("the case could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    private int run() throws Exception {
        final Store store = new Store(HOST);
        try {
            store.put("op/config", config());
            for (int i = 0; i < RUNNERS; i++) {
                final Runner runner = new Runner(rig, "i-" + i, HOST);
                runners.add(runner);
                store.put("servers/i-" + i, runner.entry("app", "z1", SLOTS));
            }
            final Rig.Vm vm = rig.startVm("front-z1-1", HOST, "z1", store.address());
            Rig.awaitReady(vm);
            Thread.sleep(3_500);
            rig.note("before: " + Rig.memory(vm));
            for (int i = 0; rig.trouble && i < IN_TROUBLE; i++) {
                runners.get(i).endless = true;
            }
            final List<Thread> ordinary = new ArrayList<>();
            for (int i = 0; i < ORDINARY_SECONDS * 1_000 / ORDINARY_INTERVAL_MILLIS; i++) {
                final int number = i;
                ordinary.add(Runner.daemon(() -> ordinary(vm, number)));
                Thread.sleep(ORDINARY_INTERVAL_MILLIS);
            }
            for (final Thread thread : ordinary) {
                thread.join();
            }
            rig.note("after: " + Rig.memory(vm) + "alive " + vm.process().isAlive() + ", log lines with OutOfMemoryError "
                    + Rig.logged(vm, "OutOfMemoryError") + ", with store_lost " + Rig.logged(vm, "store_lost"));
            rig.note("run and answered whole by a sound runner, without a success for the client: " + lost);
            rig.note("ordinary requests: answered before TimeoutMs " + inTime + ", unanswered at TimeoutMs "
                    + unansweredAtTimeout + ", of these without an answer 500 ms later " + unansweredLater
                    + ", without any " + neverAnswered);
            final boolean broken =
                    unansweredLater.get() >= 8 && 4 * unansweredLater.get() > unansweredAtTimeout.get();
            rig.note("CONFIG " + (broken ? "broken" : "held"));
            return broken || !vm.process().isAlive() ? 1 : 0;
        } finally {
            runners.forEach(Rig::closeQuietly);
        }
    }

    private static String config() {
        final String route = "\"Host\":\"shop.example\",\"Service\":\"app\",\"MaxAttempts\":1,\"Public\":false,"
                + "\"Sticky\":false,\"Resumable\":false,\"Priority\":1";
        final String tenant = ",\"Priority\":1,\"Unit\":\"token_count\",\"PlainTokens\":200,\"RatePerS\":58727,"
                + "\"Burst\":58727}";
        return "{\"Version\":3,\"Routes\":[{\"Name\":\"r1\",\"PathPrefix\":\"/s/\",\"Kind\":\"streaming\","
                + "\"TimeoutMs\":15000,\"TargetLatencyMs\":1000,\"TargetGapMs\":400," + route
                + "},{\"Name\":\"r2\",\"PathPrefix\":\"/u/\",\"Kind\":\"unsafe\",\"TimeoutMs\":" + TIMEOUT_MILLIS
                + ",\"TargetLatencyMs\":300," + route + "}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":"
                + "\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,"
                + "\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + 4_194_304
                + ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"k1\"]"
                + tenant + ",{\"Name\":\"t2\",\"ApiKeys\":[\"k2\"]" + tenant + "]}";
    }

    private static Socket connect(final Rig.Vm vm) throws IOException {
        final Socket socket = new Socket();
        socket.connect(new InetSocketAddress(vm.host(), vm.callers()), GIVE_UP_MILLIS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static String head(final String path, final String id, final String key, final int length) {
        return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n"
                + "X-Api-Key: " + key + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private boolean soundRunnerRan(final String id) {
        return runners.stream().anyMatch(runner -> !runner.endless && runner.runs.containsKey(id));
    }

    private void ordinary(final Rig.Vm vm, final int number) {
        final String id = "ordinary-" + number;
        final String body = "y".repeat(600);
        try (Socket client = connect(vm)) {
            client.setSoTimeout(GIVE_UP_MILLIS);
            final long sentNanos = System.nanoTime();
            Http.send(client, head("/u/x", id, "k1", body.length()) + body);
            String answer;
            try {
                final Http.Message message = Http.read(new BufferedInputStream(client.getInputStream()));
                answer = String.valueOf(message.status());
            } catch (final IOException e) {
                neverAnswered.incrementAndGet();
                answer = "no answer, " + e.getMessage();
            }
            final long tookMillis = (System.nanoTime() - sentNanos) / 1_000_000;
            if (tookMillis <= TIMEOUT_MILLIS) {
                inTime.incrementAndGet();
            } else {
                unansweredAtTimeout.incrementAndGet();
            }
            if (tookMillis > LATE_MILLIS) {
                unansweredLater.incrementAndGet();
            }
            if (!answer.equals("200") && soundRunnerRan(id)) {
                lost.incrementAndGet();
            }
            rig.note(id + ": " + answer + " after " + tookMillis + " ms");
        } catch (final IOException e) {
            rig.note(id + " got no connection: " + e.getMessage());
        }
    }
}
