import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model server: holds one model and adapters, carries out orders, and crashes if it is ordered to load more than its
 * memory or its places hold. It is back some seconds later, with the model from its disk and no adapters.
 */
final class EngineRunner extends Runner {
    private static final int ADAPTER_LOAD_MILLIS = 250;
    private static final int RESTART_MILLIS = 3_000;
    private static final int EVENTS = 5;
    private static final int EVENT_MILLIS = 20;

    private final Record record;
    private final String model;
    private final double freeMb;
    private final double adapterMb;
    private final int slots;
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Map<String, Boolean> adapters = new LinkedHashMap<>();
    private long sequence = 1;

    EngineRunner(
            final String id,
            final Store store,
            final Record record,
            final String model,
            final double freeMb,
            final double adapterMb,
            final int slots)
            throws IOException {
        super(id, store, "llm", "z1", "127.0.0.1", (runner, request, out) ->
                ((EngineRunner) runner).serve(request, out));
        this.record = record;
        this.model = model;
        this.freeMb = freeMb;
        this.adapterMb = adapterMb;
        this.slots = slots;
        announce();
    }

    int crashes() {
        return crashes.get();
    }

    int cut() {
        return cut.get();
    }

    @Override
    String extra() {
        return adapters == null ? ",\"Models\":[]" : ",\"Stage\":\"combined\",\"Models\":" + models();
    }

    @Override
    long sequence() {
        return adapters == null ? 0 : sequence;
    }

    private synchronized String models() {
        final List<String> names = new ArrayList<>();
        adapters.forEach((name, loaded) -> {
            if (loaded) {
                names.add("\"" + name + "@1\"");
            }
        });
        return "[{\"Name\":\"" + model + "\",\"Version\":1,\"Adapters\":[" + String.join(",", names) + "]}]";
    }

    private synchronized String report() {
        final List<String> pending = new ArrayList<>();
        adapters.forEach((name, loaded) -> {
            if (!loaded) {
                pending.add("\"" + model + "/" + name + "@1\"");
            }
        });
        return "{\"Stage\":\"combined\",\"Models\":" + models() + ",\"Pending\":[" + String.join(",", pending)
                + "],\"Busy\":false,\"Sequence\":" + sequence + ",\"Waiting\":0,\"Running\":" + running
                + ",\"KvUsed\":0,\"KvTotal\":112864,\"Handles\":0}";
    }

    private boolean serve(final Request request, final OutputStream out) throws IOException {
        if (request.uri.equals("/report")) {
            out.write(response(request, "200 OK", "Content-Type: application/json\r\n", report()));
            return true;
        }
        if (request.uri.equals("/order")) {
            return order(request, out);
        }
        return stream(request, out);
    }

    private boolean order(final Request request, final OutputStream out) throws IOException {
        final String body = new String(request.body, StandardCharsets.UTF_8);
        final String adapter = text(body, "Adapter");
        final boolean load = text(body, "Operation").equals("load");
        final Matcher expected = Pattern.compile("\"ExpectedRevision\":(\\d+)").matcher(body);
        final int status;
        synchronized (this) {
            final boolean present = adapter.isEmpty() || adapters.containsKey(adapter);
            if (load && present && adapters.getOrDefault(adapter, true) || !load && !present) {
                status = 200;
            } else if (load && present) {
                status = 202;
            } else if (expected.find() && Long.parseLong(expected.group(1)) != sequence) {
                status = 409;
            } else {
                status = 202;
                sequence++;
                if (load) {
                    adapters.put(adapter, false);
                    loadLater(adapter);
                } else {
                    adapters.remove(adapter);
                }
                record.line("order to " + id + ": " + body + ", accepted; adapters " + adapters.keySet());
                final double needed = adapters.size() * adapterMb;
                if (adapters.size() > slots || needed > freeMb) {
                    record.line(id + " crashes: " + adapters.size() + " adapters of " + adapterMb + " MB, " + freeMb
                            + " MB free beside the model, " + slots + " places");
                    fallOver();
                    return false;
                }
            }
        }
        out.write(response(request, status + " X", "", ""));
        return true;
    }

    private static String text(final String body, final String name) {
        final Matcher field = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
        return field.find() ? field.group(1) : "";
    }

    private void loadLater(final String adapter) {
        daemon(() -> {
            sleep(ADAPTER_LOAD_MILLIS);
            synchronized (this) {
                adapters.computeIfPresent(adapter, (name, loaded) -> true);
            }
        });
    }

    private void fallOver() {
        crashes.incrementAndGet();
        cut.addAndGet(running.get());
        adapters.clear();
        sequence = 1;
        crash();
        daemon(() -> {
            sleep(RESTART_MILLIS);
            try {
                start();
            } catch (final IOException e) {
                record.line(id + " can't start: " + e.getMessage());
            }
        });
    }

    private boolean stream(final Request request, final OutputStream out) throws IOException {
        final String name = request.header("x-model");
        final String adapter = name.substring(name.indexOf('/') + 1);
        synchronized (this) {
            if (!adapters.getOrDefault(adapter, false)) {
                out.write(response(request, "421 Misdirected Request", "X-Not-Executed: 1\r\n", ""));
                return true;
            }
        }
        running.incrementAndGet();
        try {
            record.line("run by " + id + ": id " + request.header("x-request-id") + " " + name);
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
                            + request.header("x-request-id") + "\r\nX-Response-Seal: seal."
                            + request.header("x-request-id") + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 1; i <= EVENTS; i++) {
                final String event = "id: " + i + "\ndata: " + adapter + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                sleep(EVENT_MILLIS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return true;
        } finally {
            running.decrementAndGet();
        }
    }

    private static void sleep(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
