package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system on one loopback address, started with the command of deploy/system.toml. */
final class Vm {
    private final Path root;
    private final Path folder;
    private final String name;
    private final String host;
    private final int callers;
    private final int ready;
    private Process process;
    private final Path settings;

    /** Writes the settings of a VM; limits and bounds are those of the site ribera-colas. */
    Vm(final Path root, final Path folder, final String name, final String host, final String zone, final String store)
            throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.host = host;
        callers = freePort(host);
        ready = freePort(host);
        final int control = freePort(host);
        final int peers = freePort(host);
        settings = folder.resolve(name + ".json");
        Files.writeString(settings, ("{'NodeName':'" + name + "','Role':'vm','MachineClass':'front',"
                + "'Serves':['front'],'Ip':'" + host + "','Zone':'" + zone + "','Region':'antioquia',"
                + "'Zones':{'belen':'antioquia','laureles':'antioquia','poblado':'antioquia','envigado':'antioquia'},"
                + "'Listen':{'Frontend':'" + host + ":" + callers + "','Ready':'" + host + ":" + ready
                + "','Control':'" + host + ":" + control + "'},"
                + "'PortRange':[" + peers + "," + (peers + 15) + "],'Seeds':[],'Bootstrap':true,"
                + "'CountsAsLoss':false,'Limits':{'CpuShare':0.75,'Cores':1,'MemoryMb':430,'MaxFds':4100,"
                + "'LinkMbps':1000.0,'DiskMb':0},'DataDir':null,'Discovery':'platform','Entry':'vip',"
                + "'HeartbeatMs':1200,'Contracts':['base','drain','config','cost','retry','recover','fleet','stream',"
                + "'engine','tenants','quota','places','platform'],'Tolerate':{'Machines':1,'Zones':1,'Regions':0},"
                + "'Bounds':{'SeedLagS':3,'ReuseAfterS':2,'StableWindowMs':3000,'AckMs':4000,'CatchUpS':4,"
                + "'DrainMs':2000,'GraceS':8,'LossSlackMs':200,'ConfigApplyMs':2000,'RollbackSlackMs':250,"
                + "'MaxSkewMs':5000,'FailClosed':false,'RevokeMs':5000,'RetryBudgetRatio':0.2,'BudgetWindowS':10,"
                + "'BudgetSlack':54,'QuotaWindowS':8,'QuotaOverage':0.1,'QuotaSlack':17000,'ColdOverage':1.5,"
                + "'ColdSlack':5,'EvacuateMs':5000,'RecoverS':12,'PassMs':120,'RetryAfterS':0,'Fencing':true,"
                + "'LeaseMs':3000,'ThawSlackMs':300,'CeilingWindowS':5,'CeilingOverage':1.1,'version_ms':5000},"
                + "'Platform':{'Address':'" + store + "','form':'kv','WritesPerS':400,'ReadsPerS':2000,"
                + "'HistoryS':20,'ValueBytes':1048576,'TtlMinMs':1000}}").replace('\'', '"'));
    }

    static int freePort(final String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    String host() {
        return host;
    }

    /** Starts the process. */
    void start() throws IOException {
        final Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        final ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        final Map<String, String> environment = new TreeMap<>();
        for (final String each : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (System.getenv(each) != null) {
                environment.put(each, System.getenv(each));
            }
        }
        builder.environment().clear();
        builder.environment().putAll(environment);
        builder.environment().put("BALSAMBANK_CONFIG", settings.toString());
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        final Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until the VM answers 200 to GET /ready. */
    void awaitReady() throws InterruptedException, IOException {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket(host, ready)) {
                Http.send(socket.getOutputStream(), Http.message("GET /ready HTTP/1.1", new byte[0], "Host: x"));
                final Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (final IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        throw new IOException(name + " did not become ready");
    }

    Socket connect() throws IOException {
        final Socket socket = new Socket(host, callers);
        socket.setTcpNoDelay(true);
        return socket;
    }

    int callerPort() {
        return callers;
    }

    /** Sends SIGTERM, as the platform does for a planned stop. */
    void terminate() {
        process.destroy();
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor();
        }
    }
}
