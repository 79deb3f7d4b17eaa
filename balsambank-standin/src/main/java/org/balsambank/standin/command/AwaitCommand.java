package org.balsambank.standin.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;

/**
 * Waits until each endpoint responds with status 200.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "await", description = "waits until all endpoints return status 200; exit code 1 on timeout")
public final class AwaitCommand implements Runnable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_MILLIS = 100;
    private static final int OK = 200;
    private static final int EXIT_FAILED = 1;

    @Option(name = "--path", description = "path of the requests")
    private String path = "/readyz";

    @Option(name = "--seconds", description = "time limit in seconds")
    private long seconds = 30;

    @Arguments(description = "endpoints as host:port")
    private List<String> endpoints = new ArrayList<>();

    @Override
    public void run() {
        final Vertx vertx = Vertx.vertx();
        final CallerClient client = new CallerClient(vertx, endpoints.size() + 1, CALL_TIMEOUT);
        final List<String> notReady = Flowable.fromIterable(endpoints)
                .flatMapSingle(endpoint -> awaitOk(client, endpoint).map(ok -> ok ? "" : endpoint))
                .filter(endpoint -> !endpoint.isEmpty())
                .toList()
                .blockingGet();
        vertx.close();
        if (!notReady.isEmpty()) {
            System.err.println("no response with status 200 at " + path + " within " + seconds + " s from " + notReady);
            System.exit(EXIT_FAILED);
        }
    }

    private Single<Boolean> awaitOk(final CallerClient client, final String endpoint) {
        return client.fetch(Endpoint.parse(endpoint), HttpMethod.GET, path, "", "")
                .map(result -> result.status() == OK)
                .repeatWhen(done -> done.delay(RETRY_MILLIS, TimeUnit.MILLISECONDS))
                .takeUntil(Flowable.timer(seconds, TimeUnit.SECONDS))
                .filter(ok -> ok)
                .first(false);
    }
}
