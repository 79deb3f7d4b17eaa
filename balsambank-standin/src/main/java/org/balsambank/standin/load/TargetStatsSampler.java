package org.balsambank.standin.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.client.CallerClient;
import org.balsambank.standin.client.Endpoint;

/**
 * Samples the counters of the engines and plain services.
 *
 * <p>Confined to the event loop of the run.
 */
final class TargetStatsSampler {
    private final CallerClient client;
    private final Ports ports;
    private final List<JsonObject> engines = new ArrayList<>(Collections.nCopies(Profile.ENGINES, new JsonObject()));
    private final List<JsonObject> services = new ArrayList<>(Collections.nCopies(Profile.SERVICES, new JsonObject()));

    private List<JsonObject> baseline = List.of();
    private double weightedIdealBatchSum;
    private double batchWeightSum;

    /**
     * Creates a sampler without samples.
     *
     * @param client sends the requests
     * @param ports the ports of the targets
     */
    TargetStatsSampler(final CallerClient client, final Ports ports) {
        this.client = client;
        this.ports = ports;
    }

    /**
     * Reads all counters once. The counters of a target that does not respond keep their last values.
     *
     * @return completes when all are read
     */
    Completable sample() {
        final List<Completable> reads = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            reads.add(read(ports.engine(i), engines, i));
        }
        for (int i = 0; i < services.size(); i++) {
            reads.add(read(ports.service(i), services, i));
        }
        return Completable.merge(reads).doOnComplete(this::addIdealBatch);
    }

    /** Makes the last sample the baseline and clears the batch statistics. Called at the end of the warm-up. */
    void resetBaseline() {
        weightedIdealBatchSum = 0;
        batchWeightSum = 0;
        baseline = List.copyOf(engines);
    }

    /**
     * Returns the increase of a counter since the last {@link #resetBaseline()}, summed over all engines.
     *
     * @param name the name of the counter
     * @return the sum
     */
    double engineIncrease(final String name) {
        return engineSum(name)
                - baseline.stream()
                        .mapToDouble(stats -> stats.getDouble(name, 0.0))
                        .sum();
    }

    /**
     * Returns the ideal mean batch size: that of the fewest engines that could run the requests of a sample, averaged
     * over the samples with the number of running requests as weight.
     *
     * @return requests per batch, 0 if nothing ran
     */
    double idealMeanBatch() {
        return batchWeightSum == 0 ? 0 : weightedIdealBatchSum / batchWeightSum;
    }

    /**
     * Returns a counter summed over all engines.
     *
     * @param name the name of the counter
     * @return the sum
     */
    double engineSum(final String name) {
        return engines.stream().mapToDouble(stats -> stats.getDouble(name, 0.0)).sum();
    }

    /**
     * Returns a counter summed over all services.
     *
     * @param name the name of the counter
     * @return the sum
     */
    double serviceSum(final String name) {
        return services.stream()
                .mapToDouble(stats -> stats.getDouble(name, 0.0))
                .sum();
    }

    private Completable read(final int port, final List<JsonObject> into, final int index) {
        return client.fetch(new Endpoint(Ports.HOST, port), HttpMethod.GET, "/control/stats", "", "")
                .doOnSuccess(result -> {
                    if (result.isWhole()) {
                        into.set(index, new JsonObject(result.text()));
                    }
                })
                .ignoreElement();
    }

    private void addIdealBatch() {
        final double running = engineSum("running");
        if (running == 0) {
            return;
        }
        final double engineCount = Math.ceil(running / Profile.CONCURRENCY);
        weightedIdealBatchSum += running * running / engineCount;
        batchWeightSum += running;
    }
}
