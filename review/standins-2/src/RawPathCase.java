import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Case: some clients send letters beyond ASCII in the path and the query as they are, without escapes. */
final class RawPathCase {
    private static final String KEY = "i9n73hh2b9wu3fexd9dn";
    private static final int REQUESTS = 20;

    private RawPathCase() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Path folder = Files.createTempDirectory("case");
        final Set<String> sent = ConcurrentHashMap.newKeySet();
        final Set<String> changed = ConcurrentHashMap.newKeySet();
        int served = 0;
        try (Record record = new Record(Path.of(arguments[0]))) {
            final Store store = new Store("127.0.0.1");
            store.put("op/config", Deployment.plain(7, KEY));
            final Runner.Handler handler = (runner, request, out) -> {
                final String run = request.method + " " + request.uri + " id " + request.header("x-request-id");
                record.line("run by " + runner.id + ": " + visible(run));
                if (!sent.contains(run)) {
                    changed.add(run);
                }
                out.write(Runner.success(request, "done"));
                return true;
            };
            new Runner("i-1", store, "app", "z1", "127.0.0.1", handler);
            new Runner("i-2", store, "app", "z1", "127.0.0.1", handler);
            final Vm vm = new Vm(folder, "front-1", "127.0.0.1", "z1", store.port());
            vm.start();
            if (!vm.awaitReady(30)) {
                record.line("the process is not ready");
                System.exit(2);
            }
            Thread.sleep(3_000);
            for (int i = 0; i < REQUESTS; i++) {
                final String id = "q" + i;
                final String name = trouble ? "Mu\u00f1oz" : "Mu%C3%B1oz";
                final String target = "/puxa403/tesis/" + name + "?cliente=" + name + i;
                final byte[] head = (Deployment.head("POST", target, id, KEY) + "Content-Length: 2\r\n\r\nhi")
                        .getBytes(StandardCharsets.UTF_8);
                sent.add("POST " + new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1)
                        + " id " + id);
                try (Client client = new Client(vm, 5_000)) {
                    client.send(head);
                    final Client.Answer answer = client.read("POST");
                    record.line("sent POST " + target + " id " + id + ", answered: " + answer.statusLine);
                    served += answer.status() == 200 ? 1 : 0;
                }
            }
            vm.stop();
            record.line("served " + served + ", run with a changed path or query: " + changed.size());
        } catch (final IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(changed.isEmpty() ? 0 : 1);
    }

    /** Returns a text with its bytes beyond ASCII in hexadecimal. */
    private static String visible(final String bytes) {
        final StringBuilder text = new StringBuilder();
        for (final char each : bytes.toCharArray()) {
            text.append(each < 128 ? String.valueOf(each) : String.format("<%02X>", (int) each));
        }
        return text.toString();
    }
}
