package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine gets SIGTERM while a caller on a kept connection is sending a request. The request is read whole and passed
 * on to a runner; then the process exits.
 */
final class StopDuringUpload {
    private static final int ROUNDS = 4;
    private static final int BODY_BYTES = 3_000;
    /** How long a body takes to arrive, as on a slow uplink; the configuration allows 3,000 ms. */
    private static final long UPLOAD_MILLIS = 600;
    private static final long WORK_MILLIS = 350;
    private static final long FIRST_BEGIN_MILLIS = 2_300;
    private static final long BEGIN_STEP_MILLIS = 50;
    private static final long GRACE_MILLIS = 8_000;

    private StopDuringUpload() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]))) {
            final Store store = new Store("127.0.0.1");
            store.put("op/config", Deployment.config());
            final AtomicInteger runs = new AtomicInteger();
            new Runner("i-7f3a91c2", Deployment.PLAIN, "belen", "127.0.0.1", "", store, (connection, request) -> {
                final String id = request.header("X-Request-Id");
                record.add("run begins  id=%s bytes=%d", id, request.body.length);
                runs.incrementAndGet();
                Thread.sleep(WORK_MILLIS);
                Http.send(connection.out, Http.message("HTTP/1.1 200 OK", new byte[800], "X-Request-Id: " + id,
                        "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"));
                record.add("run ends    id=%s", id);
            });
            int lost = 0;
            for (int round = 0; round < ROUNDS; round++) {
                final Vm vm = new Vm(Path.of("").toAbsolutePath(), Path.of(arguments[1]), "front-belen-" + round,
                        "127.0.0." + (11 + round), "belen", store.address());
                vm.start();
                try {
                    vm.awaitReady();
                    Thread.sleep(3_500);
                    lost += round(round, vm, trouble, record);
                } finally {
                    vm.kill();
                }
            }
            record.add("lost after the runner had the whole request: %d", lost);
            System.out.println("lost=" + lost + " runs=" + runs);
            System.exit(runs.get() == 0 ? 2 : lost > 0 ? 1 : 0);
        }
    }

    private static int round(final int round, final Vm vm, final boolean trouble, final Record record)
            throws Exception {
        try (Socket socket = vm.connect()) {
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            exchange(socket, in, "first-" + round, 0, record);
            if (trouble) {
                vm.terminate();
                record.add("SIGTERM to %s", vm.name());
            }
            final long termMillis = record.millis();
            Thread.sleep(FIRST_BEGIN_MILLIS + BEGIN_STEP_MILLIS * round);
            final String id = "slow-" + round;
            final boolean lost = !exchange(socket, in, id, UPLOAD_MILLIS, record);
            return lost && record.millis() - termMillis < GRACE_MILLIS ? 1 : 0;
        }
    }

    /** Sends a request whose body takes some time; returns whether a complete answer came. */
    private static boolean exchange(
            final Socket socket, final BufferedInputStream in, final String id, final long uploadMillis,
            final Record record)
            throws Exception {
        final byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        record.add("send begins id=%s", id);
        try {
            Http.send(socket.getOutputStream(), Http.head("POST /puxa403/2f HTTP/1.1", BODY_BYTES,
                    "Host: " + Deployment.HOST, "X-Request-Id: " + id, "X-Deadline-Ms: 4000",
                    "X-Api-Key: " + Deployment.KEY));
            final int pieces = 6;
            for (int i = 0; i < pieces; i++) {
                Thread.sleep(uploadMillis / pieces);
                socket.getOutputStream().write(body, i * BODY_BYTES / pieces, BODY_BYTES / pieces);
                socket.getOutputStream().flush();
            }
            record.add("send ends   id=%s", id);
            final Http.Message answer = Http.read(in);
            record.add("answer      id=%s %s", id, answer == null ? "none: the connection was closed" : answer.first);
            return answer != null;
        } catch (final IOException e) {
            record.add("answer      id=%s none: %s", id, e.getMessage());
            return false;
        }
    }
}
