import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound runner of models, which carries out orders for adapters, checks fences and notes each order. */
final class Engine extends Runner {
    /** An order as it arrived. */
    record Order(long millis, String holder, long fence, String what, int status) {}

    private static final long LOAD_MILLIS = 250;

    final List<Order> orders = new ArrayList<>();
    private final Rig rig;
    private final String model;
    private final int adapterSlots;
    /** When each adapter is loaded. */
    private final Map<String, Long> adapters = new TreeMap<>();
    private int sequence;
    private long highestFence;

    Engine(final Rig rig, final String id, final String host, final String model, final int adapterSlots)
            throws IOException {
        super(rig, id, host);
        this.rig = rig;
        this.model = model;
        this.adapterSlots = adapterSlots;
    }

    @Override
    Map<String, Object> more() {
        return Map.of("Stage", "combined", "Models", List.of(Map.of("Name", model, "Version", 1, "Adapters", List.of())));
    }

    @Override
    boolean answerCall(final Socket socket, final Http.Message request) throws IOException {
        final String path = request.start().split(" ")[1];
        if (path.equals("/report")) {
            send(socket, 200, report());
            return true;
        }
        if (path.equals("/order")) {
            send(socket, order(Json.object(request.text())), "{}");
            return true;
        }
        final String named = request.headers().getOrDefault("x-model", model);
        final boolean held = named.indexOf('/') < 0 || holds(named.substring(named.indexOf('/') + 1));
        if (!held) {
            Http.send(socket, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + request.headers().get("x-request-id")
                    + "\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }
        return !held;
    }

    private static void send(final Socket socket, final int status, final String body) throws IOException {
        Http.send(socket, "HTTP/1.1 " + status + " Done\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    private synchronized boolean holds(final String adapter) {
        return adapters.getOrDefault(adapter, Long.MAX_VALUE) <= System.currentTimeMillis();
    }

    private synchronized String report() {
        final List<Object> held = new ArrayList<>();
        final List<Object> pending = new ArrayList<>();
        for (final String adapter : adapters.keySet()) {
            if (holds(adapter)) {
                held.add(adapter + "@1");
            } else {
                pending.add(model + "/" + adapter + "@1");
            }
        }
        final Map<String, Object> report = new TreeMap<>();
        report.put("Stage", "combined");
        report.put("Models", List.of(Map.of("Name", model, "Version", 1, "Adapters", held)));
        report.put("Pending", pending);
        report.put("Busy", false);
        report.put("Sequence", sequence);
        report.put("Waiting", 0);
        report.put("Running", 0);
        report.put("KvUsed", 0);
        report.put("KvTotal", 112_864);
        report.put("Handles", 0);
        return Json.write(report);
    }

    private synchronized int order(final Map<String, Object> order) {
        final String adapter = (String) order.get("Adapter");
        final boolean load = "load".equals(order.get("Operation"));
        final long fence = ((Number) order.get("Fence")).longValue();
        final int status = carryOut(adapter, load, fence, order.get("ExpectedRevision"));
        orders.add(new Order(
                rig.millis(), (String) order.get("Holder"), fence, order.get("Operation") + " " + adapter, status));
        return status;
    }

    private int carryOut(final String adapter, final boolean load, final long fence, final Object expected) {
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        if (adapter == null || load && holds(adapter) || !load && !adapters.containsKey(adapter)) {
            return 200;
        }
        if (load && adapters.containsKey(adapter)) {
            return 202;
        }
        if (expected != null && ((Number) expected).intValue() != sequence) {
            return 409;
        }
        if (load && adapters.size() >= adapterSlots) {
            rig.note("runner " + id + " was ordered to load more than it holds");
        }
        sequence++;
        if (!load) {
            adapters.remove(adapter);
            return 200;
        }
        adapters.put(adapter, System.currentTimeMillis() + LOAD_MILLIS);
        return 202;
    }
}
