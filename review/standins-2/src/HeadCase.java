import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: a key is taken away while clients with kept connections go on. Some of their requests have the method HEAD, and
 * the process answers those itself.
 */
final class HeadCase {
    private static final String REVOKED = "i9n73hh2b9wu3fexd9dn";
    private static final String VALID = "n2ctnfzs989anu6wsjnb";
    private static final int CLIENTS = 5;
    private static final int ROUNDS = 6;
    private static final int REVOKE_AFTER = 2;

    private HeadCase() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Path folder = Files.createTempDirectory("case");
        int broken = 0;
        try (Record record = new Record(Path.of(arguments[0]))) {
            final Store store = new Store("127.0.0.1");
            store.put("op/config", Deployment.plain(7, REVOKED, VALID));
            final Runner.Handler handler = (runner, request, out) -> {
                record.line("run by " + runner.id + ": " + request.method + " " + request.uri + " id "
                        + request.header("x-request-id"));
                out.write(Runner.success(request, "status of " + request.header("x-request-id")));
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
            final List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Client(vm, 5_000));
            }
            for (int round = 0; round < ROUNDS; round++) {
                if (round == REVOKE_AFTER && trouble) {
                    store.put("op/config", Deployment.plain(9, VALID));
                    record.line("acknowledged: version 9 without the key " + REVOKED);
                    Thread.sleep(3_000);
                }
                for (int i = 0; i < CLIENTS; i++) {
                    final int garbled = round(record, clients.get(i), "c" + i + "r" + round);
                    broken += garbled;
                    if (garbled > 0) {
                        // A sound client does not go on with a connection whose bytes are no answer.
                        clients.get(i).close();
                        clients.set(i, new Client(vm, 5_000));
                    }
                }
                Thread.sleep(200);
            }
            vm.stop();
            record.line("answers that are none, or not the client's own: " + broken);
        } catch (final IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(broken > 0 ? 1 : 0);
    }

    /** One client asks for the head of a status with the one key, and for the status with the other. */
    private static int round(final Record record, final Client client, final String name) {
        int broken = 0;
        broken += call(record, client, "HEAD", name + "h", REVOKED);
        broken += call(record, client, "GET", name + "g", VALID);
        return broken;
    }

    private static int call(
            final Record record, final Client client, final String method, final String id, final String key) {
        try {
            client.send(Deployment.head(method, "/cufi504/fi50/2f", id, key) + "\r\n");
            final Client.Answer answer = client.read(method);
            record.line("sent " + method + " id " + id + ", answered: " + answer.statusLine + " | " + answer.body);
            if (answer.garbage) {
                return 1;
            }
            final boolean own = answer.status() != 200
                    || id.equals(answer.headers.get("x-request-id"))
                            && (method.equals("HEAD") || answer.body.equals("status of " + id));
            return own ? 0 : 1;
        } catch (final IOException e) {
            record.line("sent " + method + " id " + id + ", no answer: " + e.getMessage());
            return 0;
        }
    }
}
