package org.balsambank.core.serving.admission;

/**
 * What becomes of the requests that were admitted to a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pending the units of requests that were dispatched to a target and whose response has not begun
 * @param begun the units per second of requests whose response begins
 */
public record ServiceProgress(double pending, double begun) {
    /** Nothing is pending and nothing begins. */
    public static final ServiceProgress NONE = new ServiceProgress(0, 0);

    /** Clamps the figures. */
    public ServiceProgress {
        pending = DemandRates.clamp(pending);
        begun = DemandRates.clamp(begun);
    }

    /**
     * Adds figures.
     *
     * @param other the other figures
     * @return the sums
     */
    public ServiceProgress plus(final ServiceProgress other) {
        return new ServiceProgress(pending + other.pending, begun + other.begun);
    }
}
