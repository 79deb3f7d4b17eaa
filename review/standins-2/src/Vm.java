import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the system, started with the command of the deploy file. */
final class Vm {
    final String host;
    final int callerPort;
    private final int readyPort;
    private final Path settings;
    private final Path log;
    private Process process;

    Vm(final Path folder, final String name, final String host, final String zone, final int storePort)
            throws IOException {
        this.host = host;
        callerPort = freePort(host);
        readyPort = freePort(host);
        final int peerPort = freePort(host);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Files.writeString(
                settings,
                "{\"NodeName\":\"" + name + "\",\"Role\":\"vm\",\"MachineClass\":\"front\",\"Serves\":[\"front\"],"
                        + "\"Ip\":\"" + host + "\",\"Zone\":\"" + zone + "\",\"Region\":\"r\",\"Listen\":{\"Frontend\":\""
                        + host + ":" + callerPort + "\",\"Ready\":\"" + host + ":" + readyPort
                        + "\"},\"PortRange\":[" + peerPort + "," + peerPort + "],\"Seeds\":[],\"Bootstrap\":true,"
                        + "\"Limits\":{\"CpuShare\":0.75,\"Cores\":1,\"MemoryMb\":430,\"MaxFds\":4100,\"LinkMbps\":140.0},"
                        + "\"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatMs\":1200,"
                        + "\"Bounds\":{\"StableWindowMs\":3000,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,"
                        + "\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,\"RetryBudgetRatio\":0.2,"
                        + "\"BudgetWindowS\":10,\"BudgetSlack\":52,\"QuotaWindowS\":8,\"QuotaOverage\":0.1,"
                        + "\"QuotaSlack\":17000,\"ColdOverage\":1.5,\"ColdSlack\":5,\"RetryAfterS\":0,"
                        + "\"Fencing\":true,\"LeaseMs\":3000},"
                        + "\"Platform\":{\"Address\":\"127.0.0.1:" + storePort + "\",\"form\":\"kv\","
                        + "\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,\"TtlMinMs\":1000}}");
    }

    /** Starts the process. */
    void start() throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BALSAMBANK_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Starts the process with a pipe to its standard output, which the caller reads. */
    void startPiped() throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BALSAMBANK_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static List<String> command() throws IOException {
        for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                final String text = line.substring("run = \"".length(), line.lastIndexOf('"'));
                return new ArrayList<>(List.of(text.split(" ")));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    /** Waits until the process says that it is ready. */
    boolean awaitReady(final long seconds) throws InterruptedException {
        final long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            if (ready()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean ready() {
        try {
            final HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + host + ":" + readyPort + "/ready").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (final IOException e) {
            return false;
        }
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    Process process() {
        return process;
    }

    Path logFile() {
        return log;
    }

    void signal(final String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
    }

    void stop() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    static int freePort(final String host) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.setReuseAddress(true);
            probe.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return probe.getLocalPort();
        }
    }
}
