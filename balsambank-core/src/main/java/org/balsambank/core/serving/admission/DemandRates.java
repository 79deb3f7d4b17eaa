package org.balsambank.core.serving.admission;

/**
 * What callers offer and what is admitted of it, in units per second.
 *
 * <p>Immutable and thread-safe. Values that are no numbers or out of range are clamped, as they come from other VMs.
 *
 * @param offered the units per second of requests that arrive
 * @param admitted the units per second of requests that are admitted
 */
public record DemandRates(double offered, double admitted) {
    private static final double MAX_RATE = 1e9;

    /** Clamps the rates. */
    public DemandRates {
        offered = clamp(offered);
        admitted = clamp(admitted);
    }

    /**
     * Adds rates.
     *
     * @param other the other rates
     * @return the sums
     */
    public DemandRates plus(final DemandRates other) {
        return new DemandRates(offered + other.offered, admitted + other.admitted);
    }

    /** Returns a rate within its bounds, 0 for what is no number. */
    static double clamp(final double rate) {
        return rate > 0 ? Math.min(MAX_RATE, rate) : 0;
    }
}
