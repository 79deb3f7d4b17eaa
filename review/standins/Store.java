package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's metadata store, as PROTOCOL.md describes it: items, watches, transactions and leases. Thread-safe. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ANSWER_MILLIS = 4;

    private final ServerSocket server;
    private final Map<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7_000;

    Store(final String host) throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName(host));
        Threads.start("store", this::accept);
        Threads.start("store-leases", this::expire);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes an item as the operator or a runner does. */
    synchronized void put(final String key, final String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    /** Removes an item as the operator does. */
    synchronized void remove(final String key) {
        remove(key, ++revision);
        notifyAll();
    }

    /** Returns the decoded value of an item, empty if there is none. */
    synchronized String value(final String key) {
        final ObjectNode item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.path("Value").asText()), StandardCharsets.UTF_8);
    }

    private void put(final String key, final String base64, final long lease, final long at) {
        final ObjectNode known = items.get(key);
        final ObjectNode item = JSON.createObjectNode();
        item.put("Key", key).put("Value", base64).put("Revision", at);
        item.put("CreatedAt", known == null ? at : known.path("CreatedAt").asLong()).put("Lease", lease);
        items.put(key, item);
        history.add(item);
    }

    private void remove(final String key, final long at) {
        if (items.remove(key) != null) {
            history.add(JSON.createObjectNode().put("Key", key).put("Revision", at).put("Deleted", true));
        }
    }

    private void accept() throws IOException {
        while (true) {
            final Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(final Socket socket) throws IOException, InterruptedException {
        final java.io.InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            Thread.sleep(ANSWER_MILLIS);
            final ObjectNode body = JSON.createObjectNode();
            final int status = answer(call, body);
            Http.send(
                    socket.getOutputStream(),
                    Http.message("HTTP/1.1 " + status + " X", JSON.writeValueAsBytes(body),
                            "Content-Type: application/json"));
        }
    }

    private synchronized int answer(final Http.Message call, final ObjectNode answer)
            throws IOException, InterruptedException {
        final String[] uri = call.uri().split("\\?", 2);
        final Map<String, String> query = query(uri.length > 1 ? uri[1] : "");
        final JsonNode body = call.body.length == 0 ? JSON.createObjectNode() : JSON.readTree(call.body);
        if (uri[0].equals("/kv-key")) {
            final ObjectNode item = items.get(query.get("Key"));
            if (item == null) {
                return 404;
            }
            answer.setAll(item);
            answer.put("At", revision);
            return 200;
        }
        if (uri[0].equals("/kv-range")) {
            final ArrayNode list = answer.putArray("items");
            items.forEach((key, item) -> {
                if (key.startsWith(query.get("PathPrefix")) && key.compareTo(query.getOrDefault("after", "")) > 0) {
                    list.add(item);
                }
            });
            answer.put("HasMore", false).put("At", revision);
            return 200;
        }
        if (uri[0].equals("/kv-watch")) {
            return watch(query, answer);
        }
        if (uri[0].equals("/kv-txn")) {
            return transact(body, answer);
        }
        return lease(call.method(), uri[0], body, answer);
    }

    private int watch(final Map<String, String> query, final ObjectNode answer) throws InterruptedException {
        final long after = Long.parseLong(query.get("after"));
        final long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
        final ArrayNode events = answer.putArray("events");
        while (true) {
            for (final ObjectNode each : history) {
                if (each.path("Revision").asLong() > after
                        && each.path("Key").asText().startsWith(query.get("PathPrefix"))) {
                    events.add(each);
                }
            }
            final long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                answer.put("At", revision);
                return 200;
            }
            wait(left);
        }
    }

    private int transact(final JsonNode body, final ObjectNode answer) {
        final ArrayNode conflicts = JSON.createArrayNode();
        boolean holds = true;
        for (final JsonNode each : body.path("ExpectedRevision")) {
            final ObjectNode item = items.get(each.path("Key").asText());
            holds &= each.path("Revision").asLong() == (item == null ? 0 : item.path("Revision").asLong());
            if (item != null) {
                conflicts.add(item);
            }
        }
        if (!holds) {
            answer.set("items", conflicts);
            return 412;
        }
        for (final JsonNode each : body.path("Puts")) {
            final long lease = each.path("Lease").asLong();
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return 404;
            }
        }
        revision++;
        for (final JsonNode each : body.path("Puts")) {
            put(each.path("Key").asText(), each.path("Value").asText(), each.path("Lease").asLong(), revision);
        }
        body.path("Remove").forEach(key -> remove(key.asText(), revision));
        answer.put("Revision", revision);
        notifyAll();
        return 200;
    }

    private int lease(final String method, final String path, final JsonNode body, final ObjectNode answer) {
        if (path.equals("/kv-lease")) {
            final long lease = ++nextLease;
            leaseMillis.put(lease, body.path("TtlMs").asLong());
            leaseEnds.put(lease, System.currentTimeMillis() + leaseMillis.get(lease));
            answer.put("Lease", lease).put("TtlMs", leaseMillis.get(lease));
            return 200;
        }
        final long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEnds.containsKey(lease)) {
            return 404;
        }
        if (method.equals("DELETE")) {
            end(lease);
        } else {
            leaseEnds.put(lease, System.currentTimeMillis() + leaseMillis.get(lease));
            answer.put("TtlMs", leaseMillis.get(lease));
        }
        return 200;
    }

    private void end(final long lease) {
        leaseEnds.remove(lease);
        final List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.path("Lease").asLong() == lease) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(key -> remove(key, revision));
            notifyAll();
        }
    }

    private void expire() throws InterruptedException {
        while (true) {
            Thread.sleep(20);
            synchronized (this) {
                final long now = System.currentTimeMillis();
                for (final Map.Entry<Long, Long> each : List.copyOf(leaseEnds.entrySet())) {
                    if (each.getValue() < now) {
                        end(each.getKey());
                    }
                }
            }
        }
    }

    private static Map<String, String> query(final String text) {
        final Map<String, String> query = new HashMap<>();
        for (final String each : text.split("&")) {
            final int equals = each.indexOf('=');
            if (equals > 0) {
                query.put(each.substring(0, equals),
                        URLDecoder.decode(each.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
