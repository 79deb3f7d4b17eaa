import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store: items with revisions, transactions, leases and watches. */
final class Store {
    private static final int MAX_ITEMS = 500;

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 70_000;

    Store(final String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            final Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try (exchange) {
                handle(exchange);
            } catch (final RuntimeException e) {
                e.printStackTrace();
            }
        });
        server.start();
        final Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void close() {
        server.stop(0);
    }

    /** Writes an item as the operator or a server does; returns its revision, which acknowledges it. */
    synchronized long put(final String key, final String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(final String key) {
        if (items.remove(key) != null) {
            history.add(new Item(key, null, ++revision, 0, 0));
            notifyAll();
        }
    }

    private long put(final String key, final byte[] value, final long lease) {
        final Item before = items.get(key);
        revision++;
        final Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                final long now = System.nanoTime();
                for (final Map.Entry<Long, Lease> each : List.copyOf(leases.entrySet())) {
                    if (now - each.getValue().untilNanos > 0) {
                        end(each.getKey());
                    }
                }
            }
            try {
                Thread.sleep(50);
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private boolean end(final long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        for (final Item item : List.copyOf(items.values())) {
            if (item.lease == lease) {
                remove(item.key);
            }
        }
        return true;
    }

    private void handle(final HttpExchange exchange) throws IOException {
        final String path = exchange.getRequestURI().getRawPath();
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        final Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (path.equals("/kv-key")) {
            readKey(exchange, query.get("Key"));
        } else if (path.equals("/kv-range")) {
            respond(exchange, 200, range(query));
        } else if (path.equals("/kv-watch")) {
            watch(exchange, query);
        } else if (path.equals("/kv-txn")) {
            transact(exchange, body);
        } else if (path.equals("/kv-lease")) {
            grant(exchange, body);
        } else if (path.startsWith("/kv-keep/")) {
            keep(exchange, Long.parseLong(path.substring("/kv-keep/".length())));
        } else if (path.startsWith("/kv-lease-end/")) {
            final boolean ended;
            synchronized (this) {
                ended = end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            }
            respond(exchange, ended ? 200 : 404, "{}");
        } else {
            respond(exchange, 404, "{}");
        }
    }

    private void readKey(final HttpExchange exchange, final String key) throws IOException {
        final String text;
        synchronized (this) {
            final Item item = items.get(key);
            text = item == null ? null : item.json().replaceFirst("}$", ",\"At\":" + revision + "}");
        }
        respond(exchange, text == null ? 404 : 200, text == null ? "{\"At\":" + revision + "}" : text);
    }

    private synchronized String range(final Map<String, String> query) {
        final String prefix = query.getOrDefault("PathPrefix", "");
        final String after = query.getOrDefault("after", "");
        final List<String> page = new ArrayList<>();
        boolean more = false;
        for (final Item item : items.values()) {
            if (item.key.startsWith(prefix) && (after.isEmpty() || item.key.compareTo(after) > 0)) {
                if (page.size() == MAX_ITEMS) {
                    more = true;
                    break;
                }
                page.add(item.json());
            }
        }
        return "{\"items\":[" + String.join(",", page) + "],\"HasMore\":" + more + ",\"At\":" + revision + "}";
    }

    private void watch(final HttpExchange exchange, final Map<String, String> query) throws IOException {
        final String prefix = query.getOrDefault("PathPrefix", "");
        final long after = Long.parseLong(query.get("after"));
        final long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        final String text;
        synchronized (this) {
            while (events(prefix, after).isEmpty() && System.nanoTime() < until) {
                try {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                } catch (final InterruptedException e) {
                    return;
                }
            }
            text = "{\"events\":[" + String.join(",", events(prefix, after)) + "],\"At\":" + revision + "}";
        }
        respond(exchange, 200, text);
    }

    private List<String> events(final String prefix, final long after) {
        final List<String> events = new ArrayList<>();
        for (final Item item : history) {
            if (item.revision > after && item.key.startsWith(prefix)) {
                events.add(item.json());
            }
        }
        return events;
    }

    private void transact(final HttpExchange exchange, final String body) throws IOException {
        final int removeAt = Math.max(0, body.indexOf("\"Remove\""));
        final String conditions = section(body, "ExpectedRevision");
        final String puts = section(body, "Puts");
        final String removes = body.substring(removeAt);
        int status = 200;
        String text;
        synchronized (this) {
            final Matcher condition = Pattern.compile("\"Key\":\"([^\"]*)\",\"Revision\":(\\d+)").matcher(conditions);
            while (condition.find()) {
                final Item current = items.get(condition.group(1));
                if ((current == null ? 0 : current.revision) != Long.parseLong(condition.group(2))) {
                    status = 412;
                }
            }
            final Matcher put = Pattern.compile("\"Key\":\"([^\"]*)\",\"Value\":\"([^\"]*)\"(?:,\"Lease\":(\\d+))?")
                    .matcher(puts);
            final List<Runnable> changes = new ArrayList<>();
            while (put.find()) {
                final String key = put.group(1);
                final byte[] value = Base64.getDecoder().decode(put.group(2));
                final long lease = put.group(3) == null ? 0 : Long.parseLong(put.group(3));
                if (lease != 0 && !leases.containsKey(lease)) {
                    status = 404;
                }
                changes.add(() -> put(key, value, lease));
            }
            final Matcher remove = Pattern.compile("\"([^\"]+)\"").matcher(removes.replaceFirst("\"Remove\"", ""));
            while (remove.find()) {
                final String key = remove.group(1);
                changes.add(() -> remove(key));
            }
            if (status == 200) {
                changes.forEach(Runnable::run);
            }
            text = status == 200 ? "{\"Revision\":" + revision + "}" : "{\"items\":[]}";
        }
        respond(exchange, status, text);
    }

    private static String section(final String body, final String name) {
        final int start = body.indexOf("\"" + name + "\"");
        if (start < 0) {
            return "";
        }
        return body.substring(start + name.length() + 2, body.indexOf(']', start));
    }

    private void grant(final HttpExchange exchange, final String body) throws IOException {
        final Matcher ttl = Pattern.compile("\"TtlMs\":(\\d+)").matcher(body);
        final long millis = ttl.find() ? Long.parseLong(ttl.group(1)) : 3_000;
        final long id;
        synchronized (this) {
            id = ++lastLease;
            leases.put(id, new Lease(millis, System.nanoTime() + millis * 1_000_000));
        }
        respond(exchange, 200, "{\"Lease\":" + id + ",\"TtlMs\":" + millis + "}");
    }

    private void keep(final HttpExchange exchange, final long id) throws IOException {
        final Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) {
                leases.put(id, new Lease(lease.millis, System.nanoTime() + lease.millis * 1_000_000));
            }
        }
        respond(exchange, lease == null ? 404 : 200, lease == null ? "{}" : "{\"TtlMs\":" + lease.millis + "}");
    }

    private static Map<String, String> query(final String raw) {
        final Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (final String part : raw.split("&")) {
                final int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void respond(final HttpExchange exchange, final int status, final String text) throws IOException {
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private record Lease(long millis, long untilNanos) {}

    private record Item(String key, byte[] value, long revision, long created, long lease) {
        String json() {
            if (value == null) {
                return "{\"Key\":\"" + key + "\",\"Revision\":" + revision + ",\"Deleted\":true}";
            }
            return "{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value)
                    + "\",\"Revision\":" + revision + ",\"CreatedAt\":" + created + ",\"Lease\":" + lease + "}";
        }
    }
}
