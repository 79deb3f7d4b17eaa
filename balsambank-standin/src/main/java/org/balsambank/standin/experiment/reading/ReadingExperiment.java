package org.balsambank.standin.experiment.reading;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

import org.balsambank.core.serving.choice.EngineLatencyModel;
import org.balsambank.core.serving.choice.PrefillPacing;

/**
 * Compares paced prefills with prompts that are sent immediately.
 *
 * <p>Covers the load pattern in which many prompts arrive at one target while it generates answers. Stateless and
 * thread-safe.
 */
public final class ReadingExperiment {
    private static final int VMS = 6;
    private static final int TARGETS = 13;
    private static final int ADAPTERS = 3_000;
    private static final long MAX_PAUSE_MILLIS = 400;

    private ReadingExperiment() {}

    /**
     * Runs the comparison and prints a table.
     *
     * @param rate requests a second
     * @param seconds virtual seconds of traffic
     * @param digestMillis the time between two digests of a VM, in milliseconds
     * @param seed the seed of all random choices
     * @param out the destination of the table
     * @return true if pacing lowers the fraction of paused answers without raising that of late ones
     */
    public static boolean run(
            final double rate, final int seconds, final int digestMillis, final long seed, final PrintStream out) {
        final ReadingSettings settings = new ReadingSettings(VMS, TARGETS, ADAPTERS, rate, seconds, digestMillis, seed);
        final EngineLatencyModel engine = new EngineLatencyModel();
        final ReadingResult unpaced = new ReadingRun(settings, (usage, promptTokens) -> Duration.ZERO).run("at once");
        final ReadingResult paced = new ReadingRun(
                        settings,
                        (usage, promptTokens) -> PrefillPacing.delay(engine, usage, promptTokens, MAX_PAUSE_MILLIS))
                .run("balsambank");
        out.printf("%s%n", settings);
        out.println("reading     answers paused  long  late p50ms p95ms p99ms");
        List.of(unpaced, paced).forEach(result -> print(result, out));
        final boolean pausesMet = paced.paused() < unpaced.paused();
        final boolean lateMet = paced.late() <= unpaced.late();
        out.printf(
                "fewer pauses over %.0f ms: %s (%.3f against %.3f)%n",
                ReadingResult.MAX_PAUSE_MILLIS, pausesMet ? "met" : "not met", paced.paused(), unpaced.paused());
        out.printf(
                "no more first events after the objective: %s (%.3f against %.3f)%n",
                lateMet ? "met" : "not met", paced.late(), unpaced.late());
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
