package org.balsambank.standin.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.standin.client.CallResult;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.CompletionCall;
import org.balsambank.standin.client.Endpoint;
import org.balsambank.standin.load.TeamProfile;

/**
 * Generates load with a fixed number of concurrent streams; each completed stream is followed by another.
 *
 * <p>Thread-safe.
 */
final class StreamLoad {
    private final CallerClient client;
    private final TeamProfile team;
    private final List<String> models;
    private final int tokens;
    private final LongAdder failures = new LongAdder();

    /**
     * Creates a load generator.
     *
     * @param client sends the calls
     * @param team the team that sends them
     * @param models the adapters with their versions, assigned to the streams in turn
     * @param tokens the number of tokens of each answer
     */
    StreamLoad(final CallerClient client, final TeamProfile team, final List<String> models, final int tokens) {
        this.client = client;
        this.team = team;
        this.models = List.copyOf(models);
        this.tokens = tokens;
    }

    /**
     * Runs streams for a given time.
     *
     * @param endpoints the VM or target of each model
     * @param streams the number of streams at once
     * @param length the time in which new streams are started
     * @return the transit times of requests and tokens
     */
    Single<RelayLatencies> run(final Map<String, Endpoint> endpoints, final int streams, final Duration length) {
        final RelayLatencies latencies = new RelayLatencies();
        final long end = System.nanoTime() + length.toNanos();
        return Flowable.range(0, streams)
                .flatMapCompletable(stream -> runStream(endpoints, stream, end, latencies), false, streams)
                .toSingleDefault(latencies);
    }

    /**
     * Sends one call.
     *
     * @param endpoint the VM or target
     * @param model the adapter and version
     * @param latencies collects the transit times
     * @return the result for the caller
     */
    Single<CallResult> call(final Endpoint endpoint, final String model, final RelayLatencies latencies) {
        return Single.defer(() -> {
            final CompletionCall call = new CompletionCall(team.key(), model, "benchmark", tokens, true);
            return client.complete(endpoint, call, latencies.listener(System.nanoTime()))
                    .doOnSuccess(result -> {
                        if (!result.isWhole() || !call.isAnsweredBy(model, result.text())) {
                            failures.increment();
                        }
                    });
        });
    }

    /**
     * Returns the number of calls without a complete and correct answer.
     *
     * @return the number of calls
     */
    long failures() {
        return failures.sum();
    }

    private Completable runStream(
            final Map<String, Endpoint> endpoints, final int stream, final long end, final RelayLatencies latencies) {
        final String model = models.get(stream % models.size());
        return call(endpoints.get(model), model, latencies)
                .repeatUntil(() -> System.nanoTime() >= end)
                .ignoreElements();
    }
}
