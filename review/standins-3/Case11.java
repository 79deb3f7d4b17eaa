import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of four runners of a service go on with bodies without end while streams run there. Looks at the orders that the
 * engines of another service get from two VMs. The streams come to one VM at a time, in turn.
 */
final class Case11 {
    private static final String HOST = "127.0.0.1";
    private static final String[] VM_HOSTS = {"127.0.0.1", "127.0.0.2"};
    private static final int RUNNERS = 4;
    private static final int IN_TROUBLE = 2;
    private static final int ENGINES = 12;
    private static final int SLOTS = 64;
    private static final int ADAPTER_SLOTS = 6;
    private static final int ADAPTERS = 200;
    private static final long LEASE_MILLIS = 3_000;
    private static final int ROUNDS = 3;
    private static final int STREAM_INTERVAL_MILLIS = 90;
    private static final int MODEL_INTERVAL_MILLIS = 20;
    private static final int BEFORE_MILLIS = 9_000;
    private static final int TROUBLE_MILLIS = 8_000;
    private static final int AFTER_MILLIS = 6_000;
    private static final int GIVE_UP_MILLIS = 9_000;

    private final Rig rig;
    private final AtomicInteger requests = new AtomicInteger();
    /** The VM to which streams come, or -1. */
    private volatile int streamsTo = -1;

    private Case11(final Rig rig) {
        this.rig = rig;
    }

    public static void main(final String[] arguments) throws Exception {
        int code;
        try (Rig rig = new Rig(arguments)) {
            code = new Case11(rig).run();
        } catch (final IOException e) {
            System.err.println("the case could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    private int run() throws Exception {
        final Store store = new Store(HOST);
        final List<Runner> plain = new ArrayList<>();
        final List<Engine> engines = new ArrayList<>();
        try {
            store.put("op/config", config());
            for (int i = 0; i < RUNNERS; i++) {
                final Runner runner = new Runner(rig, "p-" + i, HOST);
                plain.add(runner);
                store.put("servers/p-" + i, runner.entry("app", "z1", SLOTS));
            }
            for (int i = 0; i < ENGINES; i++) {
                final Engine engine = new Engine(rig, "e-" + i, HOST, "m0", ADAPTER_SLOTS);
                engines.add(engine);
                store.put("servers/e-" + i, engine.entry("llm", i % 2 == 0 ? "z1" : "z2", SLOTS));
            }
            final List<Rig.Vm> vms = new ArrayList<>();
            for (int i = 0; i < VM_HOSTS.length; i++) {
                vms.add(rig.startVm("front-z" + (i + 1) + "-1", VM_HOSTS[i], "z" + (i + 1), store.address()));
                Rig.awaitReady(vms.get(i));
                Thread.sleep(3_500);
            }
            for (final Rig.Vm vm : vms) {
                Runner.daemon(() -> askForAdapters(vm));
            }
            Runner.daemon(() -> askForStreams(vms));
            for (int round = 0; round < ROUNDS; round++) {
                streamsTo = round % vms.size();
                Thread.sleep(BEFORE_MILLIS);
                rig.note("streams run by way of " + vms.get(streamsTo).name() + (rig.trouble ? "; trouble begins" : ""));
                setTrouble(plain, rig.trouble);
                Thread.sleep(TROUBLE_MILLIS);
                setTrouble(plain, false);
                streamsTo = -1;
                Thread.sleep(AFTER_MILLIS);
            }
            int stale = 0;
            for (final Engine engine : engines) {
                stale += staleOrders(engine);
            }
            rig.note("orders of a holder within LeaseMs after one of another holder with a higher fence: " + stale);
            rig.note("ONE " + (stale > 0 ? "broken" : "held"));
            return stale > 0 ? 1 : 0;
        } finally {
            plain.forEach(Rig::closeQuietly);
            engines.forEach(Rig::closeQuietly);
        }
    }

    private static void setTrouble(final List<Runner> plain, final boolean on) {
        for (int i = 0; i < IN_TROUBLE; i++) {
            plain.get(i).endless = on;
        }
    }

    private int staleOrders(final Engine engine) {
        int stale = 0;
        Engine.Order highest = null;
        synchronized (engine) {
            for (final Engine.Order order : engine.orders) {
                if (highest != null && order.fence() > highest.fence()) {
                    rig.note(engine.id + ": first order of the next holder: " + order);
                }
                if (highest == null || order.fence() >= highest.fence()) {
                    highest = order;
                } else if (!order.holder().equals(highest.holder())
                        && order.millis() - highest.millis() <= LEASE_MILLIS) {
                    rig.note(engine.id + ": stale " + order + " after " + highest);
                    stale++;
                }
            }
        }
        return stale;
    }

    private void askForAdapters(final Rig.Vm vm) {
        final Random random = new Random(vm.name().hashCode());
        while (true) {
            final String model = "X-Model: m0/a" + (1 + random.nextInt(ADAPTERS)) + "\r\nX-Token-Usage: 300,20\r\n";
            Runner.daemon(() -> request(vm, "/m/events/3/10/10", model, 5_000));
            Runner.pause(MODEL_INTERVAL_MILLIS);
        }
    }

    private void askForStreams(final List<Rig.Vm> vms) {
        while (true) {
            final int to = streamsTo;
            if (to >= 0) {
                Runner.daemon(() -> request(vms.get(to), "/s/events/100/100/40", "", 15_000));
            }
            Runner.pause(STREAM_INTERVAL_MILLIS);
        }
    }

    /** Sends a request and reads its answer until it ends or the client gives up. */
    private void request(final Rig.Vm vm, final String path, final String headers, final int deadlineMillis) {
        try (Socket client = new Socket()) {
            client.connect(new InetSocketAddress(vm.host(), vm.callers()), GIVE_UP_MILLIS);
            client.setSoTimeout(GIVE_UP_MILLIS);
            Http.send(client, "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nX-Request-Id: q"
                    + requests.incrementAndGet() + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: k1\r\n" + headers
                    + "Content-Length: 0\r\n\r\n");
            final InputStream in = client.getInputStream();
            final byte[] piece = new byte[65_536];
            final long endNanos = System.nanoTime() + deadlineMillis * 1_000_000L;
            while (in.read(piece) > 0 && System.nanoTime() < endNanos) {
                // What is answered is no matter here.
            }
        } catch (final IOException e) {
            // As above.
        }
    }

    private static String config() {
        final String route = "\"Host\":\"shop.example\",\"MaxAttempts\":1,\"Public\":false,\"Resumable\":false,"
                + "\"Priority\":1,\"Kind\":\"streaming\",\"TargetLatencyMs\":1000,\"TargetGapMs\":400";
        return "{\"Version\":3,\"Routes\":[{\"Name\":\"r1\",\"PathPrefix\":\"/s/\",\"TimeoutMs\":15000,\"Service\":\"app\","
                + "\"Sticky\":false," + route + "},{\"Name\":\"r3\",\"PathPrefix\":\"/m/\",\"TimeoutMs\":5000,\"Service\":\"llm\","
                + "\"Sticky\":true," + route + "}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
                + "\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0},"
                + "{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"ColdStartS\":3.0,\"ColdPerS\":8.2,\"Engine\":{\"Slots\":64,\"KvCapacity\":112864,\"Models\":[{\"Name\":"
                + "\"m0\",\"WeightsMb\":42700.0,\"LoadS\":0.6,\"Adapters\":3000,\"AdapterMb\":66.0}],\"WeightsMb\":44000.0,"
                + "\"AdapterSlots\":" + ADAPTER_SLOTS + ",\"LoadsPerS\":4.2}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
                + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t1\","
                + "\"ApiKeys\":[\"k1\"],\"Priority\":1,\"Unit\":\"token_count\",\"PlainTokens\":200,\"RatePerS\":58727,"
                + "\"Burst\":58727}]}";
    }
}
