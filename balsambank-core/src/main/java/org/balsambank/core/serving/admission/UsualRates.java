package org.balsambank.core.serving.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * What each team usually offers to a service.
 *
 * <p>A slow average. It follows a rate of more than twice the average more slowly, so that a team that floods does not
 * become used to it. Confined to the decision loop.
 */
final class UsualRates {
    private static final double AVERAGE_SECONDS = 30;
    private static final double FLOOD_SECONDS = 180;
    private static final double FLOOD_RATIO = 2;
    private static final double FORGOTTEN_RATE = 0.5;

    private final Map<Integer, Usual> teams = new HashMap<>();
    private long atNanos;

    /**
     * Creates an instance that knows no team.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    UsualRates(final long nowNanos) {
        atNanos = nowNanos;
    }

    /**
     * Updates the averages.
     *
     * @param demand the units per second that each team offers now
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    void update(final Map<Integer, Double> demand, final long nowNanos) {
        final double seconds = Math.max(0, nowNanos - atNanos) / 1e9;
        atNanos = nowNanos;
        demand.keySet().forEach(team -> teams.computeIfAbsent(team, ignored -> new Usual()));
        teams.forEach((team, usual) -> usual.update(demand.getOrDefault(team, 0.0), seconds));
        teams.entrySet().removeIf(each -> each.getValue().rate < FORGOTTEN_RATE && !demand.containsKey(each.getKey()));
    }

    /** Returns the averages. */
    Map<Integer, Double> rates() {
        final Map<Integer, Double> rates = new HashMap<>();
        teams.forEach((team, usual) -> rates.put(team, usual.rate));
        return rates;
    }

    /** The average of one team; over its first seconds it is the mean. */
    private static final class Usual {
        private double rate;
        private double ageSeconds;

        private void update(final double now, final double seconds) {
            ageSeconds += seconds;
            final boolean flood = ageSeconds > 1 && now > FLOOD_RATIO * rate;
            final double span = Math.min(flood ? FLOOD_SECONDS : AVERAGE_SECONDS, Math.max(seconds, ageSeconds));
            final double part = span <= 0 ? 1 : Math.min(1, seconds / span);
            rate += (now - rate) * part;
        }
    }
}
