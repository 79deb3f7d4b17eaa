package org.balsambank.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.balsambank.core.catalogue.RateUnit;
import org.balsambank.standin.load.ScheduledCall.Kind;

/**
 * Generates the arrivals of a run: a Poisson process for each team, adapters distributed by a power law.
 *
 * <p>Stateless and thread-safe. The same arguments and seed give the same schedule.
 */
final class ArrivalSchedule {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double SERVICE_SHARE = 0.1;
    private static final double STREAM_SHARE = 0.7;
    private static final int CHARS_PER_TOKEN = 4;

    private ArrivalSchedule() {}

    /**
     * Generates a schedule.
     *
     * @param profile the deployment
     * @param seconds the duration of the schedule
     * @param scale the factor that is applied to the load of each team
     * @param popularity the exponent of the power law of adapter popularity
     * @param seed the seed of the random generator
     * @return the calls ordered by planned send time
     */
    static List<ScheduledCall> generate(
            final Profile profile, final double seconds, final double scale, final double popularity, final long seed) {
        final List<ScheduledCall> calls = new ArrayList<>();
        final SplittableRandom random = new SplittableRandom(seed);
        for (final TeamProfile team : profile.teams()) {
            addArrivals(team, seconds, scale, cumulativePopularity(team.adapters(), popularity), random.split(), calls);
        }
        calls.sort(Comparator.comparingLong(ScheduledCall::offsetNanos));
        return calls;
    }

    private static void addArrivals(
            final TeamProfile team,
            final double seconds,
            final double scale,
            final double[] popularity,
            final SplittableRandom random,
            final List<ScheduledCall> calls) {
        final double rate = requestsPerSecond(team) * scale;
        double timeSeconds = 0;
        while (true) {
            timeSeconds -= Math.log(1 - random.nextDouble()) / rate;
            if (timeSeconds >= seconds) {
                return;
            }
            final int adapter = sampleIndex(popularity, random.nextDouble());
            calls.add(new ScheduledCall(
                    (long) (timeSeconds * NANOS_PER_SECOND),
                    team,
                    adapter,
                    prompt(team, adapter, random),
                    kind(random)));
        }
    }

    private static double requestsPerSecond(final TeamProfile team) {
        final double unitsPerSecond = team.limit().perSecond() * team.demand();
        return team.limit().unit() == RateUnit.TOKENS
                ? unitsPerSecond / (team.answerTokens() + team.promptChars() / CHARS_PER_TOKEN)
                : unitsPerSecond;
    }

    private static Kind kind(final SplittableRandom random) {
        final double draw = random.nextDouble();
        if (draw < SERVICE_SHARE) {
            return Kind.SERVICE;
        }
        return draw < SERVICE_SHARE + STREAM_SHARE ? Kind.STREAM : Kind.COMPLETION;
    }

    private static String prompt(final TeamProfile team, final int adapter, final SplittableRandom random) {
        final StringBuilder prompt = new StringBuilder();
        while (prompt.length() < team.promptChars() * 3 / 4) {
            prompt.append("You write for ").append(team.adapter(adapter)).append(". ");
        }
        while (prompt.length() < team.promptChars()) {
            prompt.append(Long.toString(random.nextLong() >>> 1, 36)).append(' ');
        }
        prompt.setLength(team.promptChars());
        return prompt.toString();
    }

    private static double[] cumulativePopularity(final int adapters, final double exponent) {
        final double[] cumulative = new double[adapters];
        double sum = 0;
        for (int i = 0; i < adapters; i++) {
            sum += Math.pow(i + 1.0, -exponent);
            cumulative[i] = sum;
        }
        for (int i = 0; i < adapters; i++) {
            cumulative[i] /= sum;
        }
        return cumulative;
    }

    private static int sampleIndex(final double[] cumulative, final double draw) {
        final int index = java.util.Arrays.binarySearch(cumulative, draw);
        return Math.min(cumulative.length - 1, index >= 0 ? index : -index - 1);
    }
}
