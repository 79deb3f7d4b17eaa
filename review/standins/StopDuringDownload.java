package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine gets SIGTERM while callers read long answers. Each caller stops reading for some time, as on a link that
 * stalls, and then reads the rest at full speed. Before that, the case measures which size of an answer the machine and
 * the operating system just take while a caller does not read.
 */
final class StopDuringDownload {
    private static final int READ_BEFORE_STALL_BYTES = 20_000;
    private static final long STALL_MILLIS = 1_500;
    private static final long TAKEN_MILLIS = 1_000;
    private static final int FIRST_BYTES = 1_000_000;
    private static final int FIRST_STEP_BYTES = 320_000;
    private static final int MEASURED_SIZES = 16;
    private static final int BELOW_BYTES = 160_000;
    private static final int STEP_BYTES = 8_000;
    private static final int CALLERS = 30;
    private static final long SENT_AFTER_TERM_MILLIS = 500;
    private static final long GRACE_MILLIS = 8_000;

    private final Record record;
    private final Map<String, Boolean> takenEarly = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private Vm vm;

    private StopDuringDownload(final Record record) {
        this.record = record;
    }

    public static void main(final String[] arguments) throws Exception {
        try (Record record = new Record(Path.of(arguments[0]))) {
            System.exit(new StopDuringDownload(record).run(Path.of(arguments[1])));
        }
    }

    private int run(final Path folder) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Store store = new Store("127.0.0.1");
        store.put("op/config", Deployment.config().replace("\"TimeoutMs\":2000", "\"TimeoutMs\":15000"));
        for (int i = 0; i < 4; i++) {
            new Runner("i-app-" + i, Deployment.PLAIN, "belen", "127.0.0.1", "", store, this::serve);
        }
        vm = new Vm(Path.of("").toAbsolutePath(), folder, "front-belen-1", "127.0.0.11", "belen", store.address());
        vm.start();
        final AtomicInteger complete = new AtomicInteger();
        final AtomicInteger cut = new AtomicInteger();
        try {
            vm.awaitReady();
            Thread.sleep(3_500);
            int smallest = FIRST_BYTES;
            for (int step = FIRST_STEP_BYTES; step > STEP_BYTES; step /= MEASURED_SIZES) {
                smallest = largestTaken(smallest, step);
            }
            record.add("answers of up to %d bytes are taken from the runner while the caller does not read", smallest);
            if (trouble) {
                vm.terminate();
                record.add("SIGTERM to %s", vm.name());
            }
            final long termMillis = record.millis();
            Thread.sleep(SENT_AFTER_TERM_MILLIS);
            readAll(smallest - BELOW_BYTES, STEP_BYTES, CALLERS, (id, bytes, got) -> {
                if (got == bytes) {
                    complete.incrementAndGet();
                } else if (got > 0 && record.millis() - termMillis < GRACE_MILLIS) {
                    cut.incrementAndGet();
                }
            });
        } finally {
            vm.kill();
        }
        final String summary = "complete=" + complete + " cut off=" + cut;
        record.add(summary);
        System.out.println(summary);
        return complete.get() + cut.get() == 0 ? 2 : cut.get() > 0 ? 1 : 0;
    }

    private int largestTaken(final int smallest, final int step) throws InterruptedException {
        final AtomicInteger largest = new AtomicInteger(smallest);
        readAll(smallest, step, MEASURED_SIZES, (id, bytes, got) -> {
            if (Boolean.TRUE.equals(takenEarly.get(id))) {
                largest.accumulateAndGet(bytes, Math::max);
            }
        });
        return largest.get();
    }

    /** Receives how many bytes of an answer came. */
    private interface Result {
        void ended(String id, int bytes, int got);
    }

    private void readAll(final int smallest, final int step, final int callers, final Result result)
            throws InterruptedException {
        final CountDownLatch ended = new CountDownLatch(callers);
        final List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            final int bytes = smallest + i * step;
            threads.add(Threads.start("caller-" + i, () -> {
                final String id = String.format("%016x", ids.incrementAndGet());
                result.ended(id, bytes, read(id, bytes));
                ended.countDown();
            }));
        }
        ended.await();
    }

    /** Sends an answer of the size that the path names, and notes whether the machine takes all of it soon. */
    private void serve(final Runner.Connection connection, final Http.Message request) throws IOException {
        final String id = request.header("X-Request-Id");
        final int bytes = Integer.parseInt(request.uri().substring(request.uri().lastIndexOf('/') + 1));
        final long startMillis = record.millis();
        record.add("run    id=%s", id);
        Http.send(connection.out, Http.message("HTTP/1.1 200 OK", new byte[bytes], "X-Request-Id: " + id,
                "X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1", "Connection: close"));
        connection.in.read();
        final long tookMillis = record.millis() - startMillis;
        takenEarly.put(id, tookMillis < TAKEN_MILLIS);
        record.add("ran    id=%s, all %d bytes taken after %d ms", id, bytes, tookMillis);
    }

    /** Returns the number of bytes of the body that came, 0 if the request was refused. */
    private int read(final String id, final int bytes) throws InterruptedException {
        int got = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            socket.connect(new InetSocketAddress(vm.host(), vm.callerPort()));
            record.add("sent   id=%s", id);
            Http.send(socket.getOutputStream(), ("GET /cufi504/" + bytes + " HTTP/1.1\r\nHost: " + Deployment.HOST
                    + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 15000\r\nX-Api-Key: " + Deployment.KEY
                    + "\r\n\r\n").getBytes());
            final InputStream in = socket.getInputStream();
            final Http.Message head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                record.add("answer id=%s %s", id, head == null ? "none" : head.first);
                return 0;
            }
            got = in.readNBytes(READ_BEFORE_STALL_BYTES).length;
            Thread.sleep(STALL_MILLIS);
            got += in.readNBytes(bytes - got).length;
        } catch (final IOException e) {
            record.add("broken id=%s %s", id, e.getMessage());
        }
        record.add("answer id=%s 200, %d of %d bytes", id, got, bytes);
        return got;
    }
}
