import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: a crowd of clients without a key sends requests of legal size, whose ids are long, to a path without a route.
 * What arrives at a machine and what is read of its log both stay within the machine's link.
 */
final class LogFloodCase {
    private static final String KEY = "i9n73hh2b9wu3fexd9dn";
    private static final int MACHINES = 2;
    private static final long LINK_BYTES_PER_SECOND = 140_000_000 / 8;
    private static final int CROWD = 40;
    private static final int ID_CHARS = 15_500;
    private static final long RUN_MILLIS = 75_000;
    private static final int ENDS_THAT_BREAK = 3;
    private static final int RESTART_MILLIS = 1_000;

    private LogFloodCase() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Path folder = Files.createTempDirectory("case");
        final List<Machine> machines = new ArrayList<>();
        int broken = 0;
        try (Record record = new Record(Path.of(arguments[0]))) {
            final Store store = new Store("127.0.0.1");
            store.put("op/config", Deployment.plain(7, KEY));
            final AtomicInteger run = new AtomicInteger();
            final Runner.Handler handler = (runner, request, out) -> {
                run.incrementAndGet();
                out.write(Runner.success(request, "status"));
                return true;
            };
            new Runner("i-1", store, "app", "z1", "127.0.0.1", handler);
            new Runner("i-2", store, "app", "z1", "127.0.0.1", handler);
            for (int i = 1; i <= MACHINES; i++) {
                final Machine machine = new Machine(
                        "front-" + i, new Vm(folder, "front-" + i, "127.0.0.1", "z1", store.port()), record);
                machine.start();
                machines.add(machine);
            }
            for (final Machine machine : machines) {
                if (!machine.vm.awaitReady(30)) {
                    record.line(machine.name + " is not ready");
                    System.exit(2);
                }
            }
            Thread.sleep(3_000);
            machines.forEach(machine -> Runner.daemon(machine::callAsOrdinaryClient));
            if (trouble) {
                for (final Machine machine : machines) {
                    for (int i = 0; i < CROWD; i++) {
                        Runner.daemon(machine::callAsCrowd);
                    }
                }
            }
            final long until = System.nanoTime() + RUN_MILLIS * 1_000_000;
            while (System.nanoTime() < until
                    && !machines.stream().allMatch(each -> each.ends.get() >= ENDS_THAT_BREAK)) {
                Thread.sleep(100);
                for (final Machine machine : machines) {
                    machine.restartIfEnded();
                }
            }
            for (final Machine machine : machines) {
                machine.over.set(true);
                record.line(machine.name + ": ended by itself " + machine.ends + " times; requests of the crowd "
                        + machine.crowd + "; ordinary requests served " + machine.served + ", without an answer "
                        + machine.unanswered + ", refused or failed " + machine.refused);
                broken += machine.ends.get() >= ENDS_THAT_BREAK ? 1 : 0;
            }
            record.line("requests run by the servers: " + run);
            for (final Machine machine : machines) {
                machine.vm.stop();
            }
            if (machines.stream().anyMatch(each -> each.served.get() == 0)) {
                System.exit(2);
            }
        } catch (final IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken == MACHINES ? 1 : 0);
    }

    /** A machine, whose process is started again when it has ended. */
    private static final class Machine {
        private final String name;
        private final Vm vm;
        private final Record record;
        private final Pace inbound = new Pace(LINK_BYTES_PER_SECOND);
        private final Pace logged = new Pace(LINK_BYTES_PER_SECOND);
        private final AtomicInteger ends = new AtomicInteger();
        private final AtomicLong crowd = new AtomicLong();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final AtomicBoolean over = new AtomicBoolean();

        Machine(final String name, final Vm vm, final Record record) {
            this.name = name;
            this.vm = vm;
            this.record = record;
        }

        void start() throws IOException {
            vm.startPiped();
            final InputStream output = vm.process().getInputStream();
            Runner.daemon(() -> readLog(output));
        }

        void restartIfEnded() throws IOException, InterruptedException {
            if (!vm.alive()) {
                ends.incrementAndGet();
                record.line(name + ": the process has ended by itself, with " + vm.process().exitValue());
                Thread.sleep(RESTART_MILLIS);
                start();
            }
        }

        private void readLog(final InputStream output) {
            final byte[] bytes = new byte[65_536];
            try {
                int count = output.read(bytes);
                while (count >= 0) {
                    final String text = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
                    final int at = text.indexOf("java.lang.OutOfMemoryError");
                    if (at >= 0) {
                        final int start = Math.max(text.lastIndexOf('\n', at) + 1, at - 100);
                        record.line(name + " wrote: " + text.substring(start, text.indexOf('\n', at)).trim());
                    }
                    logged.spend(count);
                    count = output.read(bytes);
                }
            } catch (final IOException | RuntimeException e) {
                // The process has ended.
            }
        }

        void callAsCrowd() {
            final byte[] request = ("GET /none HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Request-Id: "
                            + "\"".repeat(ID_CHARS) + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            while (!over.get()) {
                try (Client client = new Client(vm, 5_000)) {
                    while (!over.get()) {
                        inbound.spend(request.length);
                        client.send(request);
                        client.read("GET");
                        crowd.incrementAndGet();
                    }
                } catch (final IOException e) {
                    sleep(100);
                }
            }
        }

        void callAsOrdinaryClient() {
            int n = 0;
            while (!over.get()) {
                try (Client client = new Client(vm, 5_000)) {
                    while (!over.get()) {
                        final String id = name + "n" + n++;
                        client.send(Deployment.head("GET", "/cufi504/fi50/2f", id, KEY) + "\r\n");
                        final int status = answer(client, client.socket);
                        if (status == 200) {
                            served.incrementAndGet();
                        } else {
                            refused.incrementAndGet();
                        }
                        sleep(100);
                    }
                } catch (final IOException e) {
                    unanswered.incrementAndGet();
                    sleep(200);
                }
            }
        }

        private static int answer(final Client client, final Socket socket) throws IOException {
            socket.setSoTimeout(5_000);
            return client.read("GET").status();
        }

        private static void sleep(final long millis) {
            try {
                Thread.sleep(millis);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A rate of bytes that all who share it keep to. */
    private static final class Pace {
        private final long bytesPerSecond;
        private long nextNanos = System.nanoTime();

        Pace(final long bytesPerSecond) {
            this.bytesPerSecond = bytesPerSecond;
        }

        void spend(final long bytes) {
            final long waitNanos;
            synchronized (this) {
                final long now = System.nanoTime();
                nextNanos = Math.max(nextNanos, now - 50_000_000) + bytes * 1_000_000_000 / bytesPerSecond;
                waitNanos = nextNanos - now;
            }
            if (waitNanos > 0) {
                Machine.sleep(Math.max(1, waitNanos / 1_000_000));
            }
        }
    }
}
