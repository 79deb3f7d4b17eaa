import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: keys with revisions, leases, conditional writes and watches. */
final class Store {
    /** One key. */
    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private long revision = 10;
    private long nextLease = 100;

    Store(final String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            final Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
        final Thread expiry = new Thread(this::expire, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    /** Writes a key as the operator or a runner does. */
    synchronized void put(final String key, final String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    /** Removes a key. */
    synchronized void remove(final String key) {
        delete(key);
        notifyAll();
    }

    private void write(final String key, final byte[] value, final long lease) {
        revision++;
        final Item known = items.get(key);
        final Item item = new Item(key, value, revision, known == null ? revision : known.created(), lease);
        items.put(key, item);
        history.add(toMap(item));
    }

    private void delete(final String key) {
        if (items.remove(key) != null) {
            revision++;
            final Map<String, Object> event = new LinkedHashMap<>();
            event.put("Key", key);
            event.put("Revision", revision);
            event.put("Deleted", true);
            history.add(event);
        }
    }

    private static Map<String, Object> toMap(final Item item) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("Key", item.key());
        map.put("Value", Base64.getEncoder().encodeToString(item.value()));
        map.put("Revision", item.revision());
        map.put("CreatedAt", item.created());
        map.put("Lease", item.lease());
        return map;
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                final long now = System.nanoTime();
                for (final Long lease : new ArrayList<>(leases.keySet())) {
                    if (now - leases.get(lease)[0] > 0) {
                        endLease(lease);
                    }
                }
            }
            try {
                Thread.sleep(20);
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private void endLease(final long lease) {
        leases.remove(lease);
        for (final Item item : new ArrayList<>(items.values())) {
            if (item.lease() == lease) {
                delete(item.key());
            }
        }
        notifyAll();
    }

    private void handle(final HttpExchange call) throws IOException {
        try (call) {
            final String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            final Map<String, String> query = query(call.getRequestURI().getRawQuery());
            final String path = call.getRequestURI().getPath();
            final Map<String, Object> answer = new LinkedHashMap<>();
            final int status = answer(path, query, body, answer);
            final byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
            call.getResponseHeaders().set("Content-Type", "application/json");
            call.sendResponseHeaders(status, bytes.length);
            call.getResponseBody().write(bytes);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(final String raw) {
        final Map<String, String> result = new LinkedHashMap<>();
        if (raw != null) {
            for (final String pair : raw.split("&")) {
                final int equals = pair.indexOf('=');
                result.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private synchronized int answer(
            final String path, final Map<String, String> query, final String body, final Map<String, Object> answer)
            throws InterruptedException {
        if (path.equals("/kv-key")) {
            final Item item = items.get(query.get("Key"));
            if (item == null) {
                answer.put("At", revision);
                return 404;
            }
            answer.putAll(toMap(item));
            answer.put("At", revision);
            return 200;
        }
        if (path.equals("/kv-range")) {
            final List<Object> page = new ArrayList<>();
            for (final Item item : items.values()) {
                if (item.key().startsWith(query.getOrDefault("PathPrefix", ""))) {
                    page.add(toMap(item));
                }
            }
            answer.put("items", page);
            answer.put("HasMore", false);
            answer.put("At", revision);
            return 200;
        }
        if (path.equals("/kv-watch")) {
            return watch(query, answer);
        }
        if (path.equals("/kv-txn")) {
            return transaction(Json.object(body), answer);
        }
        if (path.equals("/kv-lease")) {
            final long millis = ((Number) Json.object(body).get("TtlMs")).longValue();
            nextLease++;
            leases.put(nextLease, new long[] {System.nanoTime() + millis * 1_000_000, millis});
            answer.put("Lease", nextLease);
            answer.put("TtlMs", millis);
            return 200;
        }
        final long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        final long[] known = leases.get(lease);
        if (known == null) {
            return 404;
        }
        if (path.startsWith("/kv-keep/")) {
            known[0] = System.nanoTime() + known[1] * 1_000_000;
            answer.put("TtlMs", known[1]);
        } else {
            endLease(lease);
        }
        return 200;
    }

    private int watch(final Map<String, String> query, final Map<String, Object> answer) throws InterruptedException {
        final long after = Long.parseLong(query.get("after"));
        final long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        while (true) {
            final List<Object> events = new ArrayList<>();
            for (final Map<String, Object> event : history) {
                if ((long) event.get("Revision") > after
                        && ((String) event.get("Key")).startsWith(query.getOrDefault("PathPrefix", ""))) {
                    events.add(event);
                }
            }
            final long left = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                answer.put("events", events);
                answer.put("At", revision);
                return 200;
            }
            wait(left);
        }
    }

    private int transaction(final Map<String, Object> call, final Map<String, Object> answer) {
        for (final Object row : (List<?>) call.get("ExpectedRevision")) {
            final Map<?, ?> expected = (Map<?, ?>) row;
            final Item item = items.get((String) expected.get("Key"));
            final long known = item == null ? 0 : item.revision();
            if (known != ((Number) expected.get("Revision")).longValue()) {
                answer.put("items", item == null ? List.of() : List.of(toMap(item)));
                return 412;
            }
        }
        for (final Object row : (List<?>) call.get("Puts")) {
            final Object lease = ((Map<?, ?>) row).get("Lease");
            if (lease != null && ((Number) lease).longValue() != 0 && !leases.containsKey(((Number) lease).longValue())) {
                return 404;
            }
        }
        for (final Object row : (List<?>) call.get("Puts")) {
            final Map<?, ?> put = (Map<?, ?>) row;
            final Object lease = put.get("Lease");
            write(
                    (String) put.get("Key"),
                    Base64.getDecoder().decode((String) put.get("Value")),
                    lease == null ? 0 : ((Number) lease).longValue());
        }
        for (final Object key : (List<?>) call.get("Remove")) {
            delete((String) key);
        }
        answer.put("Revision", revision);
        notifyAll();
        return 200;
    }
}
