package org.balsambank.standin.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.reactivex.rxjava3.core.Flowable;
import io.vertx.core.Vertx;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.command.DeploymentOptions;
import org.balsambank.standin.load.Ports;
import org.balsambank.standin.load.RunCounts;

/**
 * Sends calls with idempotency keys, retries each after every error, and counts the executions at the services.
 *
 * <p>Populated by Airline; runs once. Another process kills VMs during the run.
 */
@Command(name = "idempotency", description = "retries calls with idempotency keys; exit code 1 if one ran twice")
public final class IdempotencyCommand implements Runnable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_CONNECTIONS = 500;
    private static final int MAX_OPEN = 2000;
    private static final int EXIT_VIOLATED = 1;
    private static final long MICROS_PER_SECOND = 1_000_000;

    @AirlineModule
    private DeploymentOptions options = new DeploymentOptions();

    @Option(name = "--calls", description = "number of calls")
    private int calls = 10_000;

    @Option(name = "--rate", description = "new calls per second")
    private int rate = 200;

    @Option(name = "--attempts", description = "maximum number of attempts per call")
    private int attempts = 100;

    @Option(name = "--run-name", description = "prefix of the idempotency keys; must be unique per run")
    private String runName = Long.toString(System.nanoTime(), Character.MAX_RADIX);

    @Override
    public void run() {
        final Vertx vertx = Vertx.vertx();
        final CallerClient client = new CallerClient(vertx, MAX_CONNECTIONS, CALL_TIMEOUT);
        final List<Endpoint> vms = new ArrayList<>();
        for (int i = 0; i < options.vms(); i++) {
            vms.add(new Endpoint(Ports.HOST, options.ports().callers(i)));
        }
        final List<RetryingCaller> callers = Flowable.intervalRange(
                        0, calls, 0, MICROS_PER_SECOND / rate, TimeUnit.MICROSECONDS)
                .onBackpressureBuffer()
                .flatMapSingle(
                        index -> new RetryingCaller(client, options.profile(), vms, runName + "-" + index, attempts)
                                .run(),
                        false,
                        MAX_OPEN)
                .toList()
                .blockingGet();
        final boolean passed = report(callers, new RunCounts(client, options.ports()));
        vertx.close();
        System.exit(passed ? 0 : EXIT_VIOLATED);
    }

    private static boolean report(final List<RetryingCaller> callers, final RunCounts counts) {
        final Map<String, Long> runs = counts.serviceRuns();
        final Map<String, Long> attempts = counts.attempts();
        final long ranTwice = callers.stream()
                .filter(caller -> runs.getOrDefault(caller.key(), 0L) > 1)
                .count();
        final long executedDespiteReport = callers.stream()
                .flatMap(caller -> caller.notExecuted().stream())
                .filter(attempt -> attempts.getOrDefault(attempt, 0L) > 0)
                .count();
        final long answered = callers.stream().filter(RetryingCaller::answered).count();
        final long answeredWithoutRun = callers.stream()
                .filter(caller -> caller.answered() && runs.getOrDefault(caller.key(), 0L) == 0)
                .count();
        final long incorrect =
                callers.stream().filter(RetryingCaller::answeredIncorrectly).count();
        final long unknown =
                callers.stream().filter(RetryingCaller::outcomeUnknown).count();
        print("calls", callers.size());
        print("attempts", callers.stream().mapToLong(RetryingCaller::attempts).sum());
        print("answered", answered);
        print("outcome unknown for good", unknown);
        print("given up", callers.size() - answered - unknown - incorrect);
        print("ran twice", ranTwice);
        print("\"not run\" but ran", executedDespiteReport);
        print("answered but did not run", answeredWithoutRun);
        print("answer of another call", incorrect);
        final Map<String, Integer> errors = new TreeMap<>();
        callers.forEach(caller -> caller.errors().forEach((kind, count) -> errors.merge(kind, count, Integer::sum)));
        System.out.println("errors of the attempts: " + errors);
        final boolean passed = ranTwice + executedDespiteReport + answeredWithoutRun + incorrect == 0;
        System.out.println((passed ? "PASS" : "FAIL") + "  a call that must not be repeated runs at most once");
        return passed;
    }

    private static void print(final String name, final long value) {
        System.out.printf(Locale.ROOT, "%-28s %8d%n", name, value);
    }
}
