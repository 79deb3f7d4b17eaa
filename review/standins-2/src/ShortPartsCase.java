import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a crowd of clients with the key of one tenant sends requests of legal size whose prompts have very many short
 * parts, and waits for the answers. Ordinary clients of another tenant call beside it, and after it has left.
 */
final class ShortPartsCase {
    private static final String KEY_OF_CROWD = "i9n73hh2b9wu3fexd9dn";
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final String MODEL = "daka510000";
    private static final int CROWD = 1_000;
    private static final int PARTS = 3_850;
    /** Rule LOST: more than three. */
    private static final int CLOSED_ALLOWED = 3;

    /** `RecoverS` of the site: a process that answers nobody for longer hangs. */
    private static final long HANGS_MILLIS = 12_000;

    private static final int ENGINES = 13;
    private static final int ORDINARY_CLIENTS = 3;
    private static final long BEFORE_MILLIS = 5_000;
    private static final long CROWD_MILLIS = 55_000;
    private static final long RECOVERY_MILLIS = 10_000;
    private static final long CALM_MILLIS = 15_000;

    private final Record record;
    private final AtomicBoolean crowdOver = new AtomicBoolean();
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger crowdAnswered = new AtomicInteger();
    private final AtomicInteger run = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unserved = new AtomicInteger();
    /** The ids of the requests that a server has begun to run. */
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    /** The ids of the requests whose kept connection was closed without a byte of an answer, by a process that runs. */
    private final Set<String> closed = ConcurrentHashMap.newKeySet();

    private long lastAnswerNanos = System.nanoTime();
    private long longestSilenceMillis;

    private ShortPartsCase(final Record record) {
        this.record = record;
    }

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            code = new ShortPartsCase(record).play(trouble);
        } catch (final IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int play(final boolean trouble) throws IOException, InterruptedException {
        final Store store = new Store("127.0.0.1");
        store.put("op/config", config());
        for (int i = 1; i <= ENGINES; i++) {
            new Engine("i-" + i, store, run, begun);
        }
        new Runner("i-app", store, "app", "z1", "127.0.0.1", (runner, request, out) -> {
            run.incrementAndGet();
            out.write(Runner.success(request, "status"));
            return true;
        });
        final Vm vm = new Vm(Files.createTempDirectory("case"), "front-1", "127.0.0.1", "z1", store.port());
        vm.start();
        if (!vm.awaitReady(30)) {
            record.line("the process is not ready");
            return 2;
        }
        Thread.sleep(3_000);
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            final int number = i;
            Runner.daemon(() -> callAsOrdinaryClient(vm, number));
        }
        answered();
        longestSilenceMillis = 0;
        phase(vm, "before", BEFORE_MILLIS);
        if (trouble) {
            for (int i = 0; i < CROWD; i++) {
                final int number = i;
                Runner.daemon(() -> callAsCrowd(vm, number));
            }
        }
        phase(vm, "with the crowd", CROWD_MILLIS);
        crowdOver.set(true);
        phase(vm, "the crowd has left, first " + RECOVERY_MILLIS / 1_000 + " s", RECOVERY_MILLIS);
        final int servedAtLast = phase(vm, "the crowd has left, later", CALM_MILLIS);
        over.set(true);
        record.line("requests run by the servers: " + run + ", answers to the crowd: " + crowdAnswered);
        Files.readString(vm.logFile(), StandardCharsets.ISO_8859_1)
                .lines()
                .filter(line -> line.contains("OutOfMemoryError"))
                .limit(3)
                .forEach(line -> record.line("the process wrote: " + line));
        final boolean ended = !vm.alive();
        final boolean silentAtLast = !ended && servedAtLast == 0;
        if (!ended) {
            answered();
        }
        final boolean hangs = silentAtLast || !ended && longestSilenceMillis > HANGS_MILLIS;
        closed.retainAll(begun);
        record.line("the process has ended by itself: " + ended + ", hangs: " + hangs + " (longest time without an answer to an ordinary client or a ready question "
                + longestSilenceMillis + " ms)"
                + "; requests that a server had begun and whose kept connection the running process closed without an "
                + "answer: " + closed.size());
        vm.stop();
        return ended || hangs || closed.size() > CLOSED_ALLOWED ? 1 : 0;
    }

    /** Records that the process has answered an ordinary client or the question whether it is ready. */
    private synchronized void answered() {
        final long now = System.nanoTime();
        longestSilenceMillis = Math.max(longestSilenceMillis, (now - lastAnswerNanos) / 1_000_000);
        lastAnswerNanos = now;
    }

    private int phase(final Vm vm, final String name, final long millis) throws InterruptedException {
        final int servedBefore = served.get();
        final int unservedBefore = unserved.get();
        int ready = 0;
        int asked = 0;
        final long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            Thread.sleep(1_000);
            asked++;
            if (vm.alive() && vm.ready()) {
                ready++;
                answered();
            }
            if (!vm.alive()) {
                break;
            }
        }
        record.line(name + ": ordinary requests served " + (served.get() - servedBefore) + ", without an answer or refused "
                + (unserved.get() - unservedBefore) + "; ready at " + ready + " of " + asked + " questions; process "
                + (vm.alive() ? "runs" : "has ended"));
        return served.get() - servedBefore;
    }

    private void callAsOrdinaryClient(final Vm vm, final int number) {
        int n = 0;
        while (!over.get()) {
            try (Client client = new Client(vm, 4_000)) {
                while (!over.get()) {
                    client.send(Deployment.head("GET", "/cufi504/fi50/2f", "o" + number + "n" + n++, KEY) + "\r\n");
                    (client.read("GET").status() == 200 ? served : unserved).incrementAndGet();
                    answered();
                    sleep(200);
                }
            } catch (final IOException e) {
                unserved.incrementAndGet();
                sleep(200);
            }
        }
    }

    private void callAsCrowd(final Vm vm, final int number) {
        final String prefix = "a:0,".repeat(PARTS) + Integer.toHexString(number) + ":1";
        int n = 0;
        while (!crowdOver.get()) {
            final String id = "c" + number + "n" + n++;
            try (Client client = new Client(vm, 15_000)) {
                client.send(Deployment.head("GET", "/cufi504/fi50/2f", id + "first", KEY_OF_CROWD) + "\r\n");
                client.read("GET");
                client.send(Deployment.head("POST", "/lohu930/2f", id, KEY_OF_CROWD).replace("4000", "15000")
                        + "X-Model: " + MODEL + "\r\nX-Token-Usage: 1,484\r\nX-Prompt-Prefix: " + prefix
                        + "\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
                readAnswer(vm, client, id);
                crowdAnswered.incrementAndGet();
            } catch (final IOException e) {
                sleep(200);
            }
        }
    }

    private void readAnswer(final Vm vm, final Client client, final String id) throws IOException {
        try {
            client.read("POST");
        } catch (final SocketTimeoutException e) {
            throw e;
        } catch (final IOException e) {
            sleep(1_000);
            if (client.unanswered() && vm.alive()) {
                closed.add(id);
            }
            throw e;
        }
    }

    private static void sleep(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String config() {
        final String plain = Deployment.plain(7, KEY);
        final String route = "{\"Name\":\"r\",\"Host\":\"" + Deployment.HOST
                + "\",\"PathPrefix\":\"/lohu930/\",\"Kind\":\"streaming\",\"TimeoutMs\":15000,"
                + "\"TargetLatencyMs\":1000,\"TargetGapMs\":400,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":1,"
                + "\"Public\":false,\"Sticky\":true,\"Resumable\":false}";
        final String service = "{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"Engine\":{\"Slots\":64,\"KvCapacity\":112864,"
                + "\"KvTokenBytes\":163840,\"LinkMbps\":130000.0,\"Models\":[{\"Name\":\"" + MODEL
                + "\",\"WeightsMb\":42700.0,\"LoadS\":0.6,\"Adapters\":3000,\"AdapterMb\":66.0}],"
                + "\"WeightsMb\":44000.0,\"AdapterSlots\":6,\"LoadsPerS\":4.2}}";
        final String crowd = Deployment.tenant("lowu913", KEY_OF_CROWD).replace("58727", "5000000");
        return plain.replace("\"Routes\":[", "\"Routes\":[" + route + ",")
                .replace("\"Services\":[", "\"Services\":[" + service + ",")
                .replace("\"Tenants\":[", "\"Tenants\":[" + crowd + ",");
    }

    /** A model server with one model and no adapters: 64 requests run at once, 192 wait, the others are rejected. */
    private static final class Engine extends Runner {
        private static final int SLOTS = 64;
        private static final int PLACES = 256;
        private static final int EVENTS = 242;
        private static final int EVENT_MILLIS = 22;

        private final AtomicInteger run;
        private final Set<String> begun;
        private final Semaphore slots = new Semaphore(SLOTS, true);
        private final Semaphore places = new Semaphore(PLACES);

        Engine(final String id, final Store store, final AtomicInteger run, final Set<String> begun)
                throws IOException {
            super(id, store, "llm", "z1", "127.0.0.1", (runner, request, out) ->
                    ((Engine) runner).serve(request, out));
            this.run = run;
            this.begun = begun;
        }

        @Override
        String extra() {
            return ",\"Stage\":\"combined\",\"Models\":" + models();
        }

        private static String models() {
            return "[{\"Name\":\"" + MODEL + "\",\"Version\":1,\"Adapters\":[]}]";
        }

        @Override
        long sequence() {
            return 1;
        }

        private boolean serve(final Request request, final OutputStream out) throws IOException {
            if (request.uri.equals("/report")) {
                out.write(response(
                        request,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        "{\"Stage\":\"combined\",\"Models\":" + models() + ",\"Busy\":false,\"Sequence\":1,\"Waiting\":"
                                + Math.max(0, PLACES - SLOTS - places.availablePermits()) + ",\"Running\":"
                                + (SLOTS - slots.availablePermits())
                                + ",\"KvUsed\":0,\"KvTotal\":112864,\"Handles\":0}"));
                return true;
            }
            if (!places.tryAcquire()) {
                out.write(response(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n", ""));
                return true;
            }
            try {
                slots.acquireUninterruptibly();
                try {
                    run.incrementAndGet();
                    begun.add(request.header("x-request-id"));
                    stream(request, out);
                } finally {
                    slots.release();
                }
            } finally {
                places.release();
            }
            return true;
        }

        private static void stream(final Request request, final OutputStream out) throws IOException {
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
                            + request.header("x-request-id") + "\r\nX-Response-Seal: seal."
                            + request.header("x-request-id") + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 1; i <= EVENTS; i++) {
                final String event = "id: " + i + "\ndata: two tokens of an answer, 40 bytes lo\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                ShortPartsCase.sleep(EVENT_MILLIS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }
}
