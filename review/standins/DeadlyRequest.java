package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * A request that crashes each runner which begins to run it comes again and again, at all machines. After it has crashed
 * more than three, the processes of all machines are killed and started again.
 */
final class DeadlyRequest {
    private static final List<String> ZONES = List.of("belen", "laureles", "poblado", "envigado");
    private static final int MACHINES = 7;
    private static final int RUNNERS = 8;
    private static final int THIRD = 3;
    private static final int MAX_RETRIES = 3;
    private static final long BEGIN_MILLIS = 30;
    private static final long DOWN_MILLIS = 3_000;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 6_000;
    private static final int ROUNDS = 3;
    private static final byte[] DEADLY = "{\"order\":\"deadly\"}".getBytes();
    private static final byte[] SOUND = "{\"order\":\"sound\"}".getBytes();

    private final Record record;
    private final List<Long> crashes = new ArrayList<>();
    private int lateRetries;
    private int soundServed;

    private DeadlyRequest(final Record record) {
        this.record = record;
    }

    public static void main(final String[] arguments) throws Exception {
        try (Record record = new Record(Path.of(arguments[0]))) {
            System.exit(new DeadlyRequest(record).run(Path.of(arguments[1])));
        }
    }

    private int run(final Path folder) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Store store = new Store("127.0.0.1");
        store.put("op/config", Deployment.config());
        for (int i = 0; i < RUNNERS; i++) {
            new CrashingRunner("i-app-" + i, ZONES.get(i % ZONES.size()), store);
        }
        final List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            final String zone = ZONES.get(i % ZONES.size());
            vms.add(new Vm(Path.of("").toAbsolutePath(), folder, "front-" + zone + "-" + (1 + i / ZONES.size()),
                    "127.0.0." + (11 + i), zone, store.address()));
        }
        try {
            start(vms);
            sendRounds(vms, "first");
            if (trouble) {
                for (final Vm each : vms) {
                    each.kill();
                }
                record.add("all %d machines killed", vms.size());
                start(vms);
            }
            sendRounds(vms, "second");
        } finally {
            for (final Vm each : vms) {
                each.kill();
            }
        }
        final String summary = String.format("runners crashed=%d; retries later than %d ms after the third crash=%d;"
                + " sound requests served=%d", crashes.size(), STABLE_WINDOW_MILLIS, lateRetries, soundServed);
        record.add(summary);
        System.out.println(summary);
        return crashes.size() < THIRD || soundServed == 0 ? 2 : lateRetries > MAX_RETRIES ? 1 : 0;
    }

    private static void start(final List<Vm> vms) throws Exception {
        for (final Vm each : vms) {
            each.start();
        }
        for (final Vm each : vms) {
            each.awaitReady();
        }
        Thread.sleep(2 * STABLE_WINDOW_MILLIS);
    }

    private void sendRounds(final List<Vm> vms, final String name) throws InterruptedException {
        for (int round = 0; round < ROUNDS; round++) {
            final CountDownLatch ended = new CountDownLatch(vms.size());
            for (final Vm each : vms) {
                final String id = name + "-" + round + "-" + each.name();
                Threads.start(id, () -> {
                    send(each, id, DEADLY);
                    ended.countDown();
                });
            }
            ended.await();
            Thread.sleep(PAUSE_MILLIS);
            soundServed += send(vms.get(0), name + "-" + round + "-sound", SOUND) == 200 ? 1 : 0;
        }
    }

    private int send(final Vm vm, final String id, final byte[] body) {
        record.add("sent   id=%s", id);
        try (Socket socket = vm.connect()) {
            Http.send(socket.getOutputStream(), Http.message("POST /puxa403/2f HTTP/1.1", body,
                    "Host: " + Deployment.HOST, "X-Request-Id: " + id, "X-Deadline-Ms: 4000",
                    "X-Api-Key: " + Deployment.KEY));
            final Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            record.add("answer id=%s %s", id, answer == null ? "none" : answer.first);
            return answer == null ? 0 : answer.status();
        } catch (final IOException e) {
            record.add("answer id=%s none: %s", id, e.getMessage());
            return 0;
        }
    }

    private synchronized void reached(final String id, final String runner) {
        if (crashes.size() >= THIRD && record.millis() - crashes.get(THIRD - 1) > STABLE_WINDOW_MILLIS) {
            lateRetries++;
        }
        crashes.add(record.millis());
        record.add("run    id=%s begins at %s and crashes it, crash %d", id, runner, crashes.size());
    }

    /** A runner that crashes when it begins to run the deadly request, and is back after some seconds. */
    private final class CrashingRunner {
        private final String id;
        private final String zone;
        private final Store store;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final int port;
        private ServerSocket server;
        private long born;
        private long sequence;
        private boolean down;

        CrashingRunner(final String id, final String zone, final Store store) throws IOException {
            this.id = id;
            this.zone = zone;
            this.store = store;
            port = Vm.freePort("127.0.0.1");
            open();
            Threads.start(id + "-beats", () -> {
                while (true) {
                    beat();
                    Thread.sleep(1_200);
                }
            });
        }

        private synchronized void open() throws IOException {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 64);
            born = System.currentTimeMillis();
            down = false;
            final ServerSocket opened = server;
            Threads.start(id, () -> {
                while (true) {
                    final Socket socket = opened.accept();
                    sockets.add(socket);
                    Threads.start(id + "-connection", () -> serve(socket));
                }
            });
        }

        private synchronized void beat() {
            if (!down) {
                store.put("servers/" + id, "{\"Service\":\"" + Deployment.PLAIN + "\",\"Address\":\"127.0.0.1:" + port
                        + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
                        + "\"ColdRemainingMs\":0,\"born\":" + born + ",\"Sequence\":" + (++sequence) + "}");
            }
        }

        private void serve(final Socket socket) throws IOException, InterruptedException {
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                final String request = call.header("X-Request-Id");
                Thread.sleep(BEGIN_MILLIS);
                if (Arrays.equals(call.body, DEADLY)) {
                    reached(request, id);
                    crash();
                    return;
                }
                Http.send(socket.getOutputStream(), Http.message("HTTP/1.1 200 OK", new byte[800],
                        "X-Request-Id: " + request, "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"));
            }
        }

        private void crash() throws IOException, InterruptedException {
            synchronized (this) {
                down = true;
                server.close();
                for (final Socket each : sockets) {
                    each.setSoLinger(true, 0);
                    each.close();
                }
                sockets.clear();
            }
            Thread.sleep(DOWN_MILLIS);
            open();
            beat();
        }
    }
}
