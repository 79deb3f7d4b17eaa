package org.balsambank.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.balsambank.standin.experiment.placement.PlacementExperiment;

/**
 * Compares placement with its baselines; exits with code 1 if a target is missed.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(
        name = "placement",
        description = "compares load stalls and mean batch of placement with random, round robin and least loaded")
public final class PlacementCommand implements Runnable {
    private static final int EXIT_MISSED = 1;

    @Option(name = "--rate", description = "requests per second")
    private double rate = 6;

    @Option(name = "--seconds", description = "virtual seconds of traffic")
    private int seconds = 1_800;

    @Option(name = "--slots", description = "adapter slots of a model runner")
    private int slots = 32;

    @Option(name = "--seed", description = "seed of all random choices")
    private long seed = 1;

    @Override
    public void run() {
        if (!PlacementExperiment.run(rate, seconds, slots, seed, System.out)) {
            System.exit(EXIT_MISSED);
        }
    }
}
