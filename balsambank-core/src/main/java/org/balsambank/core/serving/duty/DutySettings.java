package org.balsambank.core.serving.duty;

import java.time.Duration;
import java.util.Set;

/**
 * The duties of the fleet, as the operator has configured them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kinds the duties
 * @param callsPerSecond the calls that all VMs together may make
 * @param window the length of a window of usage
 * @param lateness the time after the end of a window until which its report is in time
 * @param lease the time for which a holder may act without contact, so that holders must not alternate within it
 */
public record DutySettings(
        Set<DutyKind> kinds, double callsPerSecond, Duration window, Duration lateness, Duration lease) {
    /** Checks the components and copies the set. */
    public DutySettings {
        kinds = Set.copyOf(kinds);
        if (!(callsPerSecond > 0) || window.toMillis() <= 0 || lateness.isNegative() || lease.isNegative()) {
            throw new IllegalArgumentException(
                    "the rate of calls and the length of a window must be positive, and no time negative");
        }
    }
}
