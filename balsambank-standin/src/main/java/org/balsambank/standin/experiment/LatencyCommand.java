package org.balsambank.standin.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.command.DeploymentOptions;
import org.balsambank.standin.load.DeploymentFiles;
import org.balsambank.standin.load.Ports;
import org.balsambank.standin.load.Profile;
import org.balsambank.standin.load.TeamProfile;

/**
 * Measures the latency that a VM adds to the first token and between tokens, compared with direct calls of the same
 * engines in the same run.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "latency", description = "measures the latency that a VM adds and compares it with the latency goals")
public final class LatencyCommand implements Runnable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);
    private static final int MAX_CONNECTIONS = 1000;
    private static final double MAX_ADDED_FIRST_TOKEN_P50_MICROS = 1000;
    private static final double MAX_ADDED_FIRST_TOKEN_P99_MICROS = 5000;
    private static final double MIN_RELAYED_TOKENS_PER_SECOND = 20_000;
    private static final double MAX_ADDED_TOKEN_GAP_P95_MICROS = 2000;
    private static final int EXIT_FAILED = 1;

    @AirlineModule
    private DeploymentOptions options = new DeploymentOptions();

    @Option(name = "--streams", description = "number of concurrent streams")
    private int streams = 100;

    @Option(name = "--adapters", description = "number of adapters that the streams use")
    private int adapters = 52;

    @Option(name = "--tokens", description = "number of tokens of each answer")
    private int tokens = 200;

    @Option(name = "--seconds", description = "seconds of the direct and of the relayed part of each round")
    private int seconds = 10;

    @Option(name = "--warm-up-seconds", description = "seconds of unmeasured warm-up load through the VM")
    private int warmUpSeconds = 15;

    @Option(name = "--rounds", description = "number of rounds, each with a direct and then a relayed part")
    private int rounds = 2;

    @Override
    public void run() {
        final Vertx vertx = Vertx.vertx();
        final CallerClient client = new CallerClient(vertx, MAX_CONNECTIONS, CALL_TIMEOUT);
        final TeamProfile team = options.profile().teams().get(0);
        final List<String> models = new ArrayList<>();
        for (int i = 0; i < adapters; i++) {
            models.add(team.adapter(i) + "@" + Profile.VERSION);
        }
        final StreamLoad load = new StreamLoad(client, team, models, tokens);
        completeEngineWarmUp(client);
        final Map<String, Endpoint> direct = locateAdapters(load, models);
        if (direct.size() < models.size()) {
            System.err.println("failed: only " + direct.size() + " of " + models.size()
                    + " adapters got a complete response from an engine of this deployment");
            System.exit(EXIT_FAILED);
        }
        load.run(throughVm(models), streams, Duration.ofSeconds(warmUpSeconds)).blockingGet();
        for (int round = 1; round <= rounds; round++) {
            runRound(load, direct, models, round);
        }
        System.out.println("calls without a complete and correct response: " + load.failures());
        vertx.close();
        System.exit(load.failures() == 0 ? 0 : EXIT_FAILED);
    }

    /** Ends the simulated warm-up of all engines: a cold engine is slower and would distort the comparison. */
    private void completeEngineWarmUp(final CallerClient client) {
        for (int i = 0; i < Profile.ENGINES; i++) {
            final Endpoint engine = new Endpoint(Ports.HOST, options.ports().engine(i));
            client.fetch(engine, HttpMethod.POST, "/control", "", "{\"cold\":false}")
                    .blockingGet();
        }
    }

    private Map<String, Endpoint> locateAdapters(final StreamLoad load, final List<String> models) {
        final Map<String, Endpoint> engines = new HashMap<>();
        for (int i = 0; i < Profile.ENGINES; i++) {
            engines.put(
                    DeploymentFiles.engine(i),
                    new Endpoint(Ports.HOST, options.ports().engine(i)));
        }
        final Map<String, Endpoint> direct = new HashMap<>();
        final RelayLatencies ignored = new RelayLatencies();
        for (final String model : models) {
            final CallResult result = load.call(vm(), model, ignored).blockingGet();
            if (result.isWhole() && engines.containsKey(result.target())) {
                direct.put(model, engines.get(result.target()));
            }
        }
        return direct;
    }

    private Endpoint vm() {
        return new Endpoint(Ports.HOST, options.ports().callers(0));
    }

    private Map<String, Endpoint> throughVm(final List<String> models) {
        final Map<String, Endpoint> endpoints = new HashMap<>();
        models.forEach(model -> endpoints.put(model, vm()));
        return endpoints;
    }

    private void runRound(
            final StreamLoad load, final Map<String, Endpoint> direct, final List<String> models, final int round) {
        final Duration length = Duration.ofSeconds(seconds);
        final RelayLatencies directLatencies = load.run(direct, streams, length).blockingGet();
        final long start = System.nanoTime();
        final RelayLatencies relayed =
                load.run(throughVm(models), streams, length).blockingGet();
        final double rate = relayed.tokens() * 1e9 / (System.nanoTime() - start);
        System.out.printf(Locale.ROOT, "round %d, %d streams, %d tokens each%n", round, streams, tokens);
        printLine(
                "added to the first token, p50, us",
                relayed.firstTokenMicros(50) - directLatencies.firstTokenMicros(50),
                MAX_ADDED_FIRST_TOKEN_P50_MICROS,
                true);
        printLine(
                "added to the first token, p99, us",
                relayed.firstTokenMicros(99) - directLatencies.firstTokenMicros(99),
                MAX_ADDED_FIRST_TOKEN_P99_MICROS,
                true);
        printLine("relayed tokens a second", rate, MIN_RELAYED_TOKENS_PER_SECOND, false);
        printLine(
                "added between tokens, p95, us",
                relayed.betweenTokensMicros(95) - directLatencies.betweenTokensMicros(95),
                MAX_ADDED_TOKEN_GAP_P95_MICROS,
                true);
        System.out.printf(
                Locale.ROOT,
                "  transit times, us: direct first token p50 %.0f p99 %.0f, between tokens p95 %.0f; "
                        + "through the VM first token p50 %.0f p99 %.0f, between tokens p95 %.0f%n",
                directLatencies.firstTokenMicros(50),
                directLatencies.firstTokenMicros(99),
                directLatencies.betweenTokensMicros(95),
                relayed.firstTokenMicros(50),
                relayed.firstTokenMicros(99),
                relayed.betweenTokensMicros(95));
    }

    private static void printLine(final String name, final double measured, final double goal, final boolean atMost) {
        final boolean met = atMost ? measured <= goal : measured >= goal;
        System.out.printf(
                Locale.ROOT,
                "  %-36s measured %10.0f  goal %s %8.0f  %s%n",
                name,
                measured,
                atMost ? "<=" : ">=",
                goal,
                met ? "met" : "NOT MET");
    }
}
