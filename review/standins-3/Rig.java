import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all scripts share: the record, the settings of VMs, and their processes. */
final class Rig implements AutoCloseable {
    /** One VM. */
    record Vm(String name, String host, int callers, int ready, Process process, Path log) {}

    /** Whether the disruption is played. */
    final boolean trouble;

    private final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Vm> vms = new ArrayList<>();

    /** Opens the record of a case; the arguments are its file and 1, or 0 for a run without the disruption. */
    Rig(final String[] arguments) throws IOException {
        trouble = !arguments[1].equals("0");
        folder = Files.createTempDirectory("balsambank-case-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true);
        note("TROUBLE=" + (trouble ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(vm -> vm.process().destroyForcibly())));
    }

    /** Returns the milliseconds since the start. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line to the record, with the seconds since the start. */
    synchronized void note(final String line) {
        record.println(String.format("%8.3f s  %s", (System.nanoTime() - startNanos) / 1e9, line));
    }

    /** Returns a free port of a loopback address, below those that the system gives to connections. */
    static int freePort(final String host) throws IOException {
        while (true) {
            final int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (final BindException e) {
                // In use; another one may be free.
            }
        }
    }

    /** Starts a VM with the command of the deploy file. */
    Vm startVm(final String name, final String host, final String zone, final String store) throws IOException {
        final int callers = freePort(host);
        final int ready = freePort(host);
        final int peers = freePort(host);
        final Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(settings(name, host, zone, callers, ready, peers, store)));
        final Path log = folder.resolve(name + ".log");
        final ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("BALSAMBANK_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        final Vm vm = new Vm(name, host, callers, ready, builder.start(), log);
        vms.add(vm);
        note("started " + name + " at " + host + ":" + callers + ", process " + vm.process().pid());
        return vm;
    }

    private static List<String> command() throws IOException {
        final Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        return List.of(run.group(1).split(" "));
    }

    private static Map<String, Object> settings(
            final String name,
            final String host,
            final String zone,
            final int callers,
            final int ready,
            final int peers,
            final String store) {
        final Map<String, Object> root = new LinkedHashMap<>();
        root.put("NodeName", name);
        root.put("Role", "vm");
        root.put("MachineClass", "front");
        root.put("Serves", List.of("front"));
        root.put("Ip", host);
        root.put("Zone", zone);
        root.put("Region", "r1");
        root.put("Listen", Map.of("Frontend", host + ":" + callers, "Ready", host + ":" + ready));
        root.put("PortRange", List.of(peers, peers + 1));
        root.put("Bootstrap", true);
        root.put("Limits", Map.of("CpuShare", 0.75, "Cores", 1, "MemoryMb", 430, "MaxFds", 4100));
        root.put("HeartbeatMs", 1200);
        root.put("Bounds", Map.ofEntries(
                Map.entry("StableWindowMs", 3000),
                Map.entry("DrainMs", 2000),
                Map.entry("GraceS", 8),
                Map.entry("ConfigApplyMs", 2000),
                Map.entry("RetryBudgetRatio", 0.2),
                Map.entry("BudgetWindowS", 10),
                Map.entry("BudgetSlack", 52),
                Map.entry("QuotaWindowS", 8),
                Map.entry("QuotaOverage", 0.1),
                Map.entry("QuotaSlack", 17000),
                Map.entry("ColdOverage", 1.5),
                Map.entry("ColdSlack", 5),
                Map.entry("Fencing", true),
                Map.entry("LeaseMs", 3000)));
        root.put("Platform", Map.of("Address", store, "form", "kv", "WritesPerS", 400, "ReadsPerS", 2000));
        return root;
    }

    /** Waits until a VM says that it is ready. */
    static void awaitReady(final Vm vm) throws IOException, InterruptedException {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end && vm.process().isAlive()) {
            try {
                if (Http.get(vm.host(), vm.ready(), "/ready", 1_000).status() == 200) {
                    return;
                }
            } catch (final IOException e) {
                // Not started yet.
            }
            Thread.sleep(100);
        }
        throw new IOException(vm.name() + " is not ready");
    }

    /** Returns how often a text stands in the log of a VM. */
    static long logged(final Vm vm, final String text) throws IOException {
        try (var lines = Files.lines(vm.log(), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    /** Returns the resident memory of a VM and its peak, as the system tells them. */
    static String memory(final Vm vm) throws IOException {
        final Path status = Path.of("/proc/" + vm.process().pid() + "/status");
        if (!Files.exists(status)) {
            return "none";
        }
        final StringBuilder result = new StringBuilder();
        for (final String line : Files.readAllLines(status)) {
            if (line.startsWith("VmRSS") || line.startsWith("VmHWM")) {
                result.append(line.replaceAll("\\s+", " ")).append("; ");
            }
        }
        return result.toString();
    }

    /** Ends all VMs and removes the temporary folder. */
    @Override
    public void close() throws IOException {
        for (final Vm vm : vms) {
            vm.process().destroyForcibly();
            try {
                vm.process().waitFor(5, TimeUnit.SECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (System.getenv("KEEP_LOGS") == null) {
                Files.deleteIfExists(vm.log());
            }
            Files.deleteIfExists(folder.resolve(vm.name() + ".json"));
        }
        if (System.getenv("KEEP_LOGS") == null) {
            Files.deleteIfExists(folder);
        } else {
            System.out.println("logs: " + folder);
        }
    }

    /** Closes a stream and ignores a failure. */
    static void closeQuietly(final AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (final Exception e) {
            // It is closed already.
        }
    }

    /** Reads to the end. */
    static byte[] readAll(final InputStream in) throws IOException {
        return in.readAllBytes();
    }
}
