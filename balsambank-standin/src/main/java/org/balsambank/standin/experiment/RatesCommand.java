package org.balsambank.standin.experiment;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/**
 * Compares policies that enforce the rates of teams across VMs, in virtual time. Simulates each policy with the
 * same seed.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "rates", description = "compares policies that enforce team rates across VMs, in virtual time")
public final class RatesCommand implements Runnable {
    @Option(name = "--vms", description = "number of VMs, at least 2")
    private int vms = 7;

    @Option(name = "--seed", description = "seed of the arrivals")
    private long seed = 1;

    @Override
    public void run() {
        RateExperiment.run(vms, seed, List.of(RatePolicy.values()), System.out);
    }
}
