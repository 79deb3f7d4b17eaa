package org.balsambank.core.serving.load;

import java.time.Duration;
import java.util.Optional;

/**
 * What a report of a target lets expect of it now.
 *
 * <p>A report says less the older it is: the paces and queues of targets change within some hundred milliseconds, and
 * other VMs send to the targets that look best. The forecast therefore moves from the report to what is usual, and a
 * target that reports false figures, or none any more, is soon treated like the others. Immutable and thread-safe.
 *
 * @param paceFactor the time that work takes at the target, relative to the usual time
 * @param waiting the requests that wait at the target for a slot
 * @param weight how much the report still says, from 0 to 1
 * @param report the report, if there is one
 */
public record LoadForecast(double paceFactor, double waiting, double weight, Optional<LoadReport> report) {
    /** The forecast for a target that has reported nothing. */
    public static final LoadForecast NONE = new LoadForecast(1, 0, 0, Optional.empty());

    /** Targets are slow for 600 ms at a time; a report comes in the middle of it on average. */
    private static final double PACE_MILLIS = 400;
    /** Queues end or begin as soon as a few requests end, or other VMs hear of them. */
    private static final double WAITING_MILLIS = 250;

    /** Later a report says nothing: a target that is worse by a trace would never be taken among idle ones. */
    private static final double MAX_AGE_MILLIS = 2_000;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Makes the forecast of a target.
     *
     * @param report its newest report
     * @return the forecast
     */
    public static LoadForecast of(final Optional<LoadReport> report) {
        if (report.isEmpty()) {
            return NONE;
        }
        final ServerLoad load = report.get().load();
        final double ageMillis = nanos(report.get().age()) / NANOS_PER_MILLI;
        if (ageMillis >= MAX_AGE_MILLIS) {
            return new LoadForecast(1, 0, 0, report);
        }
        final double pace = load.pace().orElse(ServerLoad.USUAL_PACE) / (double) ServerLoad.USUAL_PACE;
        final double weight = Math.exp(-ageMillis / WAITING_MILLIS);
        return new LoadForecast(
                1 + (pace - 1) * Math.exp(-ageMillis / PACE_MILLIS), load.waiting() * weight, weight, report);
    }

    private static double nanos(final Duration age) {
        return age.getSeconds() * 1e9 + age.getNano();
    }

    /**
     * Combines the requests that a target has reported with those that VMs have told each other of.
     *
     * @param told the requests in flight that VMs have told each other of
     * @param own those of this VM, which it knows exactly
     * @return the requests that are expected at the target
     */
    public double occupancy(final int told, final int own) {
        if (report.isEmpty()) {
            return told;
        }
        final ServerLoad load = report.get().load();
        return Math.max(own, told + weight * (load.running() + load.waiting() - told));
    }
}
