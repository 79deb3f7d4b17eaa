package org.balsambank.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.balsambank.standin.experiment.reading.ReadingExperiment;

/**
 * Compares pauses of answers with and without prefill pacing; exits with code 1 if pacing does not help.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "reading", description = "compares pauses of answers with and without prefill pacing")
public final class ReadingCommand implements Runnable {
    private static final int EXIT_MISSED = 1;

    @Option(name = "--rate", description = "requests per second")
    private double rate = 60;

    @Option(name = "--seconds", description = "virtual seconds of traffic")
    private int seconds = 60;

    @Option(name = "--digest-millis", description = "milliseconds between two digests of a VM to the others")
    private int digestMillis = 150;

    @Option(name = "--seed", description = "seed of all random choices")
    private long seed = 1;

    @Override
    public void run() {
        if (!ReadingExperiment.run(rate, seconds, digestMillis, seed, System.out)) {
            System.exit(EXIT_MISSED);
        }
    }
}
