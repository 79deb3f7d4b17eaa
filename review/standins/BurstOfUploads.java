package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send files within the limits of the configuration. For 4.9 seconds, two and a half times as many come. The
 * requests of all callers have to be answered when the time-out of their route is over.
 */
final class BurstOfUploads {
    private static final int SMALL_CALLERS = 10;
    private static final int USUAL_UPLOADS = 8;
    private static final double BURST_FACTOR = 2.5;
    private static final int FILE_BYTES = 4_000_000;
    private static final int SMALL_BYTES = 600;
    private static final int PIECE_BYTES = 1_400;
    /** How long a file takes to arrive; the configuration allows 3,000 ms for a head. */
    private static final long UPLOAD_MILLIS = 2_000;
    private static final long THINK_MILLIS = 2_000;
    private static final long WORK_MILLIS = 60;
    private static final long FILE_WORK_MILLIS = 450;
    private static final long QUIET_MILLIS = 12_000;
    private static final long BURST_MILLIS = 4_900;
    private static final long AFTER_MILLIS = 12_000;
    private static final long ROUTE_TIMEOUT_MILLIS = 2_000;
    private static final long SLACK_MILLIS = 500;
    private static final int MIN_LONG_REQUESTS = 8;
    private static final int GIVE_UP_MILLIS = 10_000;

    private final Record record;
    private final List<long[]> ended = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private volatile boolean stopped;
    private volatile boolean burst;

    private BurstOfUploads(final Record record) {
        this.record = record;
    }

    public static void main(final String[] arguments) throws Exception {
        try (Record record = new Record(Path.of(arguments[0]))) {
            System.exit(new BurstOfUploads(record).run(Path.of(arguments[1])));
        }
    }

    private int run(final Path folder) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Store store = new Store("127.0.0.1");
        store.put("op/config", Deployment.config());
        for (int i = 0; i < 4; i++) {
            new Runner("i-app-" + i, Deployment.PLAIN, "belen", "127.0.0.1", "", store, (connection, request) -> {
                final String id = request.header("X-Request-Id");
                record.add("run    id=%s bytes=%d", id, request.body.length);
                Thread.sleep(request.body.length > SMALL_BYTES ? FILE_WORK_MILLIS : WORK_MILLIS);
                Http.send(connection.out, Http.message("HTTP/1.1 200 OK", new byte[800], "X-Request-Id: " + id,
                        "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"));
            });
        }
        final Vm vm = new Vm(Path.of("").toAbsolutePath(), folder, "front-belen-1", "127.0.0.11", "belen",
                store.address());
        vm.start();
        try {
            vm.awaitReady();
            Thread.sleep(4_000);
            for (int i = 0; i < SMALL_CALLERS; i++) {
                Threads.start("small-" + i, () -> sendSmall(vm));
            }
            for (int i = 0; i < USUAL_UPLOADS; i++) {
                final long delay = (UPLOAD_MILLIS + THINK_MILLIS) * i / USUAL_UPLOADS;
                Threads.start("upload-" + i, () -> sendFiles(vm, delay, false));
            }
            Thread.sleep(QUIET_MILLIS);
            if (trouble) {
                record.add("burst begins");
                burst = true;
                for (int i = 0; i < USUAL_UPLOADS * (BURST_FACTOR - 1); i++) {
                    Threads.start("burst-" + i, () -> sendFiles(vm, 0, true));
                }
            }
            Thread.sleep(BURST_MILLIS);
            burst = false;
            record.add("burst is over");
            Thread.sleep(AFTER_MILLIS);
            stopped = true;
            return judge(vm);
        } finally {
            vm.kill();
        }
    }

    private void sendSmall(final Vm vm) throws InterruptedException {
        while (!stopped) {
            try (Socket socket = vm.connect()) {
                socket.setSoTimeout(GIVE_UP_MILLIS);
                final InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!stopped && exchange(socket.getOutputStream(), in, SMALL_BYTES, 0)) {
                    Thread.sleep(100);
                }
            } catch (final IOException e) {
                record.add("closed %s", e.getMessage());
            }
            Thread.sleep(100);
        }
    }

    private void sendFiles(final Vm vm, final long delay, final boolean onlyInBurst) throws InterruptedException {
        Thread.sleep(delay);
        while (!stopped && (burst || !onlyInBurst)) {
            try (Socket socket = vm.connect()) {
                socket.setSoTimeout(GIVE_UP_MILLIS);
                exchange(socket.getOutputStream(), socket.getInputStream(), FILE_BYTES, UPLOAD_MILLIS);
            } catch (final IOException e) {
                record.add("closed %s", e.getMessage());
            }
            Thread.sleep(THINK_MILLIS);
        }
    }

    /** Sends a request and reads its answer; returns whether the connection may be used again. */
    private boolean exchange(
            final OutputStream out, final InputStream in, final int bytes, final long uploadMillis)
            throws IOException, InterruptedException {
        final String id = String.format("%016x", ids.incrementAndGet());
        record.add("sent   id=%s bytes=%d", id, bytes);
        Http.send(out, Http.head("POST /puxa403/2f HTTP/1.1", bytes, "Host: " + Deployment.HOST,
                "X-Request-Id: " + id, "X-Deadline-Ms: 4000", "X-Api-Key: " + Deployment.KEY));
        final long startMillis = record.millis();
        final byte[] piece = new byte[PIECE_BYTES];
        for (int sent = 0; sent < bytes; sent += PIECE_BYTES) {
            out.write(piece, 0, Math.min(PIECE_BYTES, bytes - sent));
            out.flush();
            final long early = startMillis + uploadMillis * sent / bytes - record.millis();
            if (early > 0) {
                Thread.sleep(early);
            }
        }
        final long sentMillis = record.millis();
        String answer;
        boolean reusable = false;
        try {
            final Http.Message message = Http.read(in);
            answer = message == null ? "closed" : String.valueOf(message.status());
            reusable = message != null && !"close".equalsIgnoreCase(message.header("Connection"));
        } catch (final SocketTimeoutException e) {
            answer = "none";
        }
        final long tookMillis = record.millis() - sentMillis;
        record.add("answer id=%s %s %d ms after its last byte was sent", id, answer, tookMillis);
        synchronized (ended) {
            ended.add(new long[] {tookMillis, answer.equals("200") ? 1 : 0});
        }
        return reusable;
    }

    private int judge(final Vm vm) {
        synchronized (ended) {
            final long unanswered = ended.stream().filter(each -> each[0] > ROUTE_TIMEOUT_MILLIS).count();
            final long late =
                    ended.stream().filter(each -> each[0] > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS).count();
            final long longest = ended.stream().mapToLong(each -> each[0]).max().orElse(0);
            final long served = ended.stream().filter(each -> each[1] == 1).count();
            final String summary = String.format(
                    "answers=%d served=%d; unanswered at the time-out=%d, 0.5 s later=%d; longest=%d ms; alive=%s",
                    ended.size(), served, unanswered, late, longest, vm.alive());
            record.add(summary);
            System.out.println(summary);
            if (served == 0) {
                return 2;
            }
            return !vm.alive() || unanswered >= MIN_LONG_REQUESTS && late * 2 > unanswered ? 1 : 0;
        }
    }
}
