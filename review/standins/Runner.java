package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A runner, as PROTOCOL.md describes it: it registers itself in the store, takes orders for adapters of its model and
 * hands requests to a handler. Thread-safe.
 */
final class Runner {
    static final int ADAPTER_SLOTS = 6;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long ADAPTER_MILLIS = 250;
    /** An adapter that the runner held before loads ten times as fast. */
    private static final long KEPT_ADAPTER_MILLIS = 25;

    /** Answers the requests of callers on one connection. */
    interface Handler {
        void handle(Connection connection, Http.Message request) throws IOException, InterruptedException;
    }

    /** One connection of a VM to the runner. */
    static final class Connection {
        final InputStream in;
        final OutputStream out;
        /** A second copy of an earlier answer, sent where the next answer is expected. */
        byte[] lateCopy = new byte[0];

        Connection(final Socket socket) throws IOException {
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }
    }

    private final String id;
    private final String service;
    private final String zone;
    private final String model;
    private final Store store;
    private final Handler handler;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Map<String, Long> adapters = new TreeMap<>();
    private final Map<String, Long> pending = new LinkedHashMap<>();
    private final Map<String, Integer> running = new TreeMap<>();
    private final Set<String> unloading = new TreeSet<>();
    private final Set<String> kept = new TreeSet<>();
    private long sequence;
    private long beats;
    private long highestFence;

    /** Starts a runner; model is empty for a plain service. */
    Runner(
            final String id,
            final String service,
            final String zone,
            final String host,
            final String model,
            final Store store,
            final Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.model = model;
        this.store = store;
        this.handler = handler;
        server = new ServerSocket(0, 512, InetAddress.getByName(host));
        Threads.start(id, this::accept);
        Threads.start(id + "-beats", this::beat);
    }

    String id() {
        return id;
    }

    private String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void beat() throws InterruptedException, IOException {
        while (true) {
            store.put("servers/" + id, entry());
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    private synchronized String entry() throws IOException {
        final ObjectNode entry = JSON.createObjectNode();
        entry.put("Service", service).put("Address", address()).put("Zone", zone).put("Version", "v1");
        entry.put("Slots", model.isEmpty() ? 6 : 64).put("State", "ready").put("ColdRemainingMs", 0);
        entry.put("born", born).put("Sequence", ++beats);
        if (!model.isEmpty()) {
            entry.put("Stage", "combined");
            entry.set("Models", models());
        }
        return JSON.writeValueAsString(entry);
    }

    private ArrayNode models() {
        final ArrayNode list = JSON.createArrayNode();
        final ArrayNode names = list.addObject().put("Name", model).put("Version", 1).putArray("Adapters");
        adapters.forEach((name, version) -> names.add(name + "@" + version));
        return list;
    }

    private void accept() throws IOException {
        while (true) {
            final Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start(id + "-connection", () -> serve(socket));
        }
    }

    private void serve(final Socket socket) throws IOException, InterruptedException {
        try (socket) {
            final Connection connection = new Connection(socket);
            for (Http.Message call = Http.read(connection.in); call != null; call = Http.read(connection.in)) {
                if (call.uri().equals("/report")) {
                    Http.send(connection.out, Http.message("HTTP/1.1 200 OK", report(), "Content-Type: application/json"));
                } else if (call.uri().equals("/order")) {
                    Http.send(connection.out, Http.message("HTTP/1.1 " + order(call) + " X", new byte[0]));
                } else {
                    handler.handle(connection, call);
                }
            }
        }
    }

    private synchronized byte[] report() throws IOException {
        settle();
        final ObjectNode report = JSON.createObjectNode();
        report.put("Stage", "combined").put("Busy", false).put("Sequence", sequence).put("Waiting", 0);
        report.put("Running", running.values().stream().mapToInt(Integer::intValue).sum());
        report.put("KvUsed", 1_000).put("KvTotal", 114_197).put("Handles", 0);
        report.set("Models", models());
        final ArrayNode names = report.putArray("Pending");
        pending.keySet().forEach(name -> names.add(model + "/" + name + "@1"));
        return JSON.writeValueAsBytes(report);
    }

    private void settle() {
        final long now = System.currentTimeMillis();
        for (final Map.Entry<String, Long> each : List.copyOf(pending.entrySet())) {
            if (each.getValue() <= now) {
                pending.remove(each.getKey());
                adapters.put(each.getKey(), 1L);
            }
        }
    }

    private synchronized int order(final Http.Message call) throws IOException {
        settle();
        final JsonNode body = JSON.readTree(call.body);
        if (!id.equals(call.header("X-Expect-Instance"))) {
            return 421;
        }
        final long fence = body.path("Fence").asLong();
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        final boolean load = body.path("Operation").asText().equals("load");
        final String adapter = body.path("Adapter").asText();
        if (load && (adapter.isEmpty() || adapters.containsKey(adapter)) || !load && !adapters.containsKey(adapter)) {
            return 200;
        }
        if (pending.containsKey(adapter)) {
            return 202;
        }
        if (body.has("ExpectedRevision") && body.path("ExpectedRevision").asLong() != sequence) {
            return 409;
        }
        if (unloading.contains(adapter) || load && adapters.size() + pending.size() >= ADAPTER_SLOTS) {
            return 409;
        }
        sequence++;
        if (load) {
            final long millis = kept.add(adapter) ? ADAPTER_MILLIS : KEPT_ADAPTER_MILLIS;
            pending.put(adapter, System.currentTimeMillis() + millis);
            return 202;
        }
        if (running.containsKey(adapter)) {
            unloading.add(adapter);
            return 202;
        }
        adapters.remove(adapter);
        return 200;
    }

    /** Begins to run a request; returns 200, 421 if the adapter is not loaded, 503 while it is being unloaded. */
    synchronized int begin(final String instance, final String adapter) {
        settle();
        if (!id.equals(instance) || !adapters.containsKey(adapter)) {
            return 421;
        }
        if (unloading.contains(adapter)) {
            return 503;
        }
        running.merge(adapter, 1, Integer::sum);
        return 200;
    }

    /** Ends the run of a request for an adapter. */
    synchronized void end(final String adapter) {
        running.computeIfPresent(adapter, (name, count) -> count == 1 ? null : count - 1);
        if (!running.containsKey(adapter) && unloading.remove(adapter)) {
            adapters.remove(adapter);
        }
    }
}
