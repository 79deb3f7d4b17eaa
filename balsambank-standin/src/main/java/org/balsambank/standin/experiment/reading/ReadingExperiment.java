package org.balsambank.standin.experiment.reading;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

import org.balsambank.core.serving.choice.EngineLatencyModel;
import org.balsambank.core.serving.choice.PrefillPacing;

/**
 * Compares prompts that are sent as their target reads them with prompts that are sent at once.
 *
 * <p>Answers the load pattern of many prompts that come to one target while it writes answers. Stateless and
 * thread-safe.
 */
public final class ReadingExperiment {
    private static final int VMS = 6;
    private static final int TARGETS = 13;
    private static final int ADAPTERS = 3_000;
    private static final long PAUSE_MILLIS = 400;

    private ReadingExperiment() {}

    /**
     * Runs the comparison and prints a table.
     *
     * @param rate requests a second
     * @param seconds virtual seconds of traffic
     * @param digestMillis the time between two digests of a VM
     * @param seed the seed of all random choices
     * @param out gets the table
     * @return true if fewer answers pause, and no fewer begin in time
     */
    public static boolean run(
            final double rate, final int seconds, final int digestMillis, final long seed, final PrintStream out) {
        final ReadingSettings settings = new ReadingSettings(VMS, TARGETS, ADAPTERS, rate, seconds, digestMillis, seed);
        final EngineLatencyModel engine = new EngineLatencyModel();
        final ReadingResult atOnce = new ReadingRun(settings, (use, promptTokens) -> Duration.ZERO).run("at once");
        final ReadingResult paced = new ReadingRun(
                        settings, (use, promptTokens) -> PrefillPacing.delay(engine, use, promptTokens, PAUSE_MILLIS))
                .run("balsambank");
        out.printf("%s%n", settings);
        out.println("reading     answers paused  long  late p50ms p95ms p99ms");
        List.of(atOnce, paced).forEach(result -> print(result, out));
        final boolean pausesMet = paced.paused() < atOnce.paused();
        final boolean lateMet = paced.late() <= atOnce.late();
        out.printf(
                "fewer pauses over %.0f ms: %s (%.3f against %.3f)%n",
                ReadingResult.MOST_PAUSE_MILLIS, pausesMet ? "met" : "not met", paced.paused(), atOnce.paused());
        out.printf(
                "no more first events after the objective: %s (%.3f against %.3f)%n",
                lateMet ? "met" : "not met", paced.late(), atOnce.late());
        return pausesMet && lateMet;
    }

    private static void print(final ReadingResult result, final PrintStream out) {
        out.printf(
                "%-11s %7d %6.3f %5.3f %5.3f %5d %5d %5d%n",
                result.name(),
                result.answers(),
                result.paused(),
                result.longPaused(),
                result.late(),
                result.p50Millis(),
                result.p95Millis(),
                result.p99Millis());
    }
}
