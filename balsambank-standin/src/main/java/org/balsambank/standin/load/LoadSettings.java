package org.balsambank.standin.load;

import java.util.List;

/**
 * The settings of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param profile the deployment
 * @param ports its ports
 * @param vms the number of VMs
 * @param warmUpSeconds the duration of the warm-up, which the metrics leave out
 * @param seconds the duration of the measured part, in seconds
 * @param scale the factor that is applied to the load of each team
 * @param popularity the exponent of the power law of adapter popularity
 * @param seed the seed of the schedule
 * @param actions the actions, ordered by time from the start of the measured part
 */
public record LoadSettings(
        Profile profile,
        Ports ports,
        int vms,
        double warmUpSeconds,
        double seconds,
        double scale,
        double popularity,
        long seed,
        List<ScheduledAction> actions) {
    /** Copies the list. */
    public LoadSettings {
        actions = List.copyOf(actions);
    }
}
